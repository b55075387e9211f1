// Package settings reads and validates a daemon's INI settings file. Each key is declared once, with its default, unit and
// range; the operators' settings page is generated from the same declarations.
package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/gravitational/trace"

	"galenamoor/internal/inifile"
)

// Settings are the settings of one daemon.
type Settings struct {
	Host         string
	Zone         string
	DataFolder   string // the daemon keeps no log and never votes when it is empty
	LogLevel     string
	DrainDelay   time.Duration
	DrainTimeout time.Duration

	Calls       netip.AddrPort // HTTP for callers
	Control     netip.AddrPort // HTTP for operators, workers and endpoints, health checks and metrics
	PeerAddress netip.AddrPort // gRPC between daemons

	SnapshotEntries int
	QueueLength     int
	CallsInProgress int

	Peers []Peer // all daemons of the cluster, including this one
}

// Peer is one daemon of the initial cluster.
type Peer struct {
	Host       string
	Address    netip.AddrPort
	Controller bool // the daemon has a data folder and votes
}

// Read reads and validates a settings file.
func Read(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.Wrap(trace.ConvertSystemError(err), "read settings")
	}
	return Parse(path, string(text))
}

// Parse parses and validates the text of a settings file. An error lists all problems and contains the name.
func Parse(name, text string) (*Settings, error) {
	document, err := inifile.Parse(name, text)
	if err != nil {
		return nil, err
	}
	s := &Settings{}
	singleSections := map[string]*inifile.Section{}
	for _, section := range sections {
		singleSections[section] = document.Single(section, section != "Limits")
	}
	for _, key := range keys {
		key.read(s, singleSections[key.Section])
	}
	s.readPeers(document)
	document.RejectUnknown(append(sections, "Peer")...)
	s.check(document)
	if err := document.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Settings) readPeers(document *inifile.Document) {
	for _, section := range document.Sections("Peer") {
		s.Peers = append(s.Peers, Peer{
			Host:       section.RequireName(),
			Address:    inifile.Required(section, "Address", inifile.AddrPort),
			Controller: inifile.Optional(section, "Controller", false, inifile.Bool),
		})
	}
}

// check validates constraints between keys.
func (s *Settings) check(document *inifile.Document) {
	controllers := 0
	listsSelf := false
	for _, peer := range s.Peers {
		if peer.Controller {
			controllers++
		}
		if peer.Host != s.Host {
			continue
		}
		listsSelf = true
		if peer.Controller && s.DataFolder == "" {
			document.AddProblem("[Daemon] DataFolder: missing, but [Peer %s] is a controller", peer.Host)
		}
	}
	if !listsSelf && s.Host != "" {
		document.AddProblem("[Daemon] Host: %q: expected a host that has a [Peer NAME]", s.Host)
	}
	switch controllers {
	case 1, 3, 5:
	default:
		document.AddProblem("%d peers have Controller = true: expected 1, 3 or 5", controllers)
	}
}
