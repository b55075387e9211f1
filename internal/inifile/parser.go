package inifile

import (
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Parser parses one value. Its error says what was expected.
type Parser[T any] func(text string) (T, error)

// Required reads a key that must be present. If the key is missing or invalid, it records an error and returns the zero
// value.
func Required[T any](s *Section, key string, parse Parser[T]) T {
	var zero T
	text, ok := s.value(key)
	if !ok {
		s.AddProblem(key, "missing")
		return zero
	}
	return parseValue(s, key, text, zero, parse)
}

// Optional reads a key that may be absent, and returns the fallback if it is absent or invalid. An invalid value is
// recorded as an error.
func Optional[T any](s *Section, key string, fallback T, parse Parser[T]) T {
	text, ok := s.value(key)
	if !ok {
		return fallback
	}
	return parseValue(s, key, text, fallback, parse)
}

func parseValue[T any](s *Section, key, text string, fallback T, parse Parser[T]) T {
	value, err := parse(text)
	if err != nil {
		s.AddProblem(key, "%v", err)
		return fallback
	}
	return value
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Name parses the name of an object such as a zone, worker or service.
func Name(text string) (string, error) {
	if !namePattern.MatchString(text) {
		return "", trace.BadParameter("%q: expected a name of 1 to 63 letters, digits, '.', '_' or '-' that starts with a letter or digit", text)
	}
	return text, nil
}

// Names parses a comma-separated list of distinct names.
func Names(text string) ([]string, error) {
	var names []string
	seen := map[string]bool{}
	for _, part := range strings.Split(text, ",") {
		name, err := Name(strings.TrimSpace(part))
		if err != nil {
			return nil, err
		}
		if seen[name] {
			return nil, trace.BadParameter("%q: %s appears twice", text, name)
		}
		seen[name] = true
		names = append(names, name)
	}
	return names, nil
}

// Int returns a parser of integers from minimum to maximum, inclusive.
func Int(minimum, maximum int) Parser[int] {
	return func(text string) (int, error) {
		n, err := strconv.Atoi(text)
		if err != nil || n < minimum || n > maximum {
			return 0, trace.BadParameter("%q: expected a whole number from %d to %d", text, minimum, maximum)
		}
		return n, nil
	}
}

// Bool parses true or false.
func Bool(text string) (bool, error) {
	switch text {
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, trace.BadParameter("%q: expected true or false", text)
}

// Duration returns a parser of durations with a unit from minimum to maximum, inclusive.
func Duration(minimum, maximum time.Duration) Parser[time.Duration] {
	return func(text string) (time.Duration, error) {
		d, err := time.ParseDuration(text)
		if err != nil || d < minimum || d > maximum {
			return 0, trace.BadParameter("%q: expected a duration with a unit from %v to %v", text, minimum, maximum)
		}
		return d, nil
	}
}

// AddrPort parses an IP address and a port other than 0.
func AddrPort(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		return netip.AddrPort{}, trace.BadParameter("%q: expected an IP address and port such as 127.0.0.1:7001", text)
	}
	return address, nil
}

// Share parses a percentage such as "99.9%" and returns parts per 100,000.
func Share(text string) (int, error) {
	const expected = "expected a percentage from 0% to 100% with at most three decimals, such as 99.9%"
	number, ok := strings.CutSuffix(text, "%")
	whole, fraction, _ := strings.Cut(number, ".")
	if !ok || len(fraction) > 3 {
		return 0, trace.BadParameter("%q: %s", text, expected)
	}
	for len(fraction) < 3 {
		fraction += "0"
	}
	n, err := strconv.Atoi(whole + fraction)
	if err != nil || n < 0 || n > 100_000 {
		return 0, trace.BadParameter("%q: %s", text, expected)
	}
	return n, nil
}

// FormatShare formats parts per 100,000 as Share parses them.
func FormatShare(share int) string {
	text := strconv.FormatFloat(float64(share)/1000, 'f', 3, 64)
	return strings.TrimSuffix(strings.TrimRight(text, "0"), ".") + "%"
}
