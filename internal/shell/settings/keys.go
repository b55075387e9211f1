package settings

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"galenamoor/internal/inifile"
)

//go:generate go run ./describe

var sections = []string{"Daemon", "Listen", "Limits"}

// Key describes one key of a settings file.
type Key struct {
	Section string
	Name    string
	Default string // empty if the key is required, or if Meaning says what its absence means
	Unit    string
	Range   string
	Meaning string

	read func(*Settings, *inifile.Section)
}

// Keys returns all keys except those of [Peer NAME] sections.
func Keys() []Key {
	return keys
}

var keys = []Key{
	required("Daemon", "Host", "name", "1 to 63 characters", "name of this host in the inventory",
		inifile.Name, func(s *Settings) *string { return &s.Host }),
	required("Daemon", "Zone", "name", "1 to 63 characters", "availability zone of this host",
		inifile.Name, func(s *Settings) *string { return &s.Zone }),
	optional("Daemon", "DataFolder", "", "path", "absolute path", "folder of the replicated control log; without it the daemon never votes",
		absolutePath, func(s *Settings) *string { return &s.DataFolder }),
	optional("Daemon", "LogLevel", "info", "", "info or debug", "minimum level of the log lines that are written",
		logLevel, func(s *Settings) *string { return &s.LogLevel }),
	optional("Daemon", "DrainDelay", "2s", "duration", "0s to 1m", "time from becoming unready to refusing calls at a planned stop; at least the load balancer's probe interval",
		inifile.Duration(0, time.Minute), func(s *Settings) *time.Duration { return &s.DrainDelay }),
	optional("Daemon", "DrainTimeout", "30s", "duration", "1s to 10m", "maximum time to wait for calls in progress at a planned stop",
		inifile.Duration(time.Second, 10*time.Minute), func(s *Settings) *time.Duration { return &s.DrainTimeout }),
	required("Listen", "Calls", "IP address and port", "", "HTTP for callers, behind the platform's load balancer",
		inifile.AddrPort, func(s *Settings) *netip.AddrPort { return &s.Calls }),
	required("Listen", "Control", "IP address and port", "", "HTTP for operators, workers and endpoints, health checks and metrics",
		inifile.AddrPort, func(s *Settings) *netip.AddrPort { return &s.Control }),
	required("Listen", "Peers", "IP address and port", "", "gRPC between daemons",
		inifile.AddrPort, func(s *Settings) *netip.AddrPort { return &s.PeerAddress }),
	optional("Limits", "SnapshotEntries", "10000", "log entries", "100 to 1000000", "number of applied entries between snapshots",
		inifile.Int(100, 1_000_000), func(s *Settings) *int { return &s.SnapshotEntries }),
	optional("Limits", "QueueLength", "4096", "requests", "16 to 65536", "maximum number of requests queued for the control goroutine; further ones are refused as Overloaded",
		inifile.Int(16, 65_536), func(s *Settings) *int { return &s.QueueLength }),
	optional("Limits", "CallsInProgress", "4096", "calls", "1 to 65536", "maximum number of calls in progress at one gateway; further ones are refused as not run",
		inifile.Int(1, 65_536), func(s *Settings) *int { return &s.CallsInProgress }),
}

func required[T any](section, name, unit, valueRange, meaning string, parse inifile.Parser[T], field func(*Settings) *T) Key {
	read := func(s *Settings, from *inifile.Section) {
		*field(s) = inifile.Required(from, name, parse)
	}
	return Key{Section: section, Name: name, Unit: unit, Range: valueRange, Meaning: meaning, read: read}
}

func optional[T any](section, name, defaultValue, unit, valueRange, meaning string, parse inifile.Parser[T], field func(*Settings) *T) Key {
	read := func(s *Settings, from *inifile.Section) {
		value, err := parse(defaultValue)
		if err != nil && defaultValue != "" {
			panic(fmt.Sprintf("default of %s %s: %v", section, name, err))
		}
		*field(s) = inifile.Optional(from, name, value, parse)
	}
	return Key{Section: section, Name: name, Default: defaultValue, Unit: unit, Range: valueRange, Meaning: meaning, read: read}
}

func absolutePath(text string) (string, error) {
	if !strings.HasPrefix(text, "/") {
		return "", trace.BadParameter("%q: expected an absolute path", text)
	}
	return text, nil
}

func logLevel(text string) (string, error) {
	if text != "info" && text != "debug" {
		return "", trace.BadParameter("%q: expected info or debug", text)
	}
	return text, nil
}
