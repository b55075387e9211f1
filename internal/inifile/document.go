// Package inifile parses and writes INI text strictly: unknown sections and keys, duplicates and invalid values are errors
// that name the document, section, key, value and what was expected. Settings, inventory and rules use it.
package inifile

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/gravitational/trace"
	"gopkg.in/ini.v1"
)

// MaxSize is the maximum size of a text, in bytes. An inventory of 3,880 workers takes about 400 kB.
const MaxSize = 4 << 20

// Document is a parsed text. It collects the errors of its sections and keys, which Err returns as one error. It isn't safe
// for concurrent use.
type Document struct {
	name     string
	sections []*Section
	problems []string
}

// Section is one "[Kind Name]" section.
type Section struct {
	Kind string
	Name string // empty for "[Kind]"

	document *Document
	keys     map[string][]string // values by key; more than one when the key is repeated
	used     map[string]bool     // keys that were read
}

// Parse parses a text. The errors of Parse and of the Document start with name.
func Parse(name, text string) (*Document, error) {
	if len(text) > MaxSize {
		return nil, trace.LimitExceeded("%s: %d bytes, expected at most %d", name, len(text), MaxSize)
	}
	options := ini.LoadOptions{
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		AllowNonUniqueSections:     true,
		IgnoreInlineComment:        true,
		IgnoreContinuation:         true,
		PreserveSurroundedQuote:    true,
		KeyValueDelimiters:         "=",
		ChildSectionDelimiter:      "\x00",
	}
	file, err := ini.LoadSources(options, []byte(text))
	if err != nil {
		return nil, trace.BadParameter("%s: %v", name, err)
	}
	d := &Document{name: name}
	for _, section := range file.Sections() {
		d.add(section)
	}
	return d, nil
}

func (d *Document) add(section *ini.Section) {
	if section.Name() == ini.DefaultSection {
		if len(section.Keys()) > 0 {
			d.AddProblem("key %s precedes the first section", section.KeyStrings()[0])
		}
		return
	}
	kind, name, _ := strings.Cut(section.Name(), " ")
	name = strings.TrimSpace(name)
	s := &Section{Kind: kind, Name: name, document: d, keys: map[string][]string{}, used: map[string]bool{}}
	for _, key := range section.Keys() {
		s.keys[key.Name()] = key.ValueWithShadows()
		if len(s.keys[key.Name()]) == 0 {
			s.keys[key.Name()] = []string{key.Value()}
		}
	}
	for _, other := range d.sections {
		if other.Kind == kind && other.Name == name {
			d.AddProblem("[%s] appears twice", s.title())
		}
	}
	d.sections = append(d.sections, s)
}

// AddProblem records an error that concerns the document as a whole.
func (d *Document) AddProblem(format string, args ...any) {
	d.problems = append(d.problems, d.name+": "+fmt.Sprintf(format, args...))
}

// Sections returns the sections of a kind, in the order of the text.
func (d *Document) Sections(kind string) []*Section {
	var found []*Section
	for _, s := range d.sections {
		if s.Kind == kind {
			found = append(found, s)
		}
	}
	return found
}

// Single returns the section of a kind that occurs once and has no name. When it is missing, it returns an empty section,
// and records an error if required is set.
func (d *Document) Single(kind string, required bool) *Section {
	for _, s := range d.Sections(kind) {
		if s.Name != "" {
			d.AddProblem("[%s]: expected [%s] without a name", s.title(), kind)
		}
		return s
	}
	if required {
		d.AddProblem("section [%s] is missing", kind)
	}
	return &Section{Kind: kind, document: d, keys: map[string][]string{}, used: map[string]bool{}}
}

// RejectUnknown records an error for each section whose kind is not listed, and for each key that was not read. Call it
// after all keys were read.
func (d *Document) RejectUnknown(kinds ...string) {
	for _, s := range d.sections {
		if !slices.Contains(kinds, s.Kind) {
			d.AddProblem("[%s] is unknown, expected one of %s", s.title(), strings.Join(kinds, ", "))
			continue
		}
		s.reportUnused()
	}
}

// Err returns all problems as one error, or nil. Call it after RejectUnknown.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	return trace.BadParameter("%s", strings.Join(d.problems, "\n"))
}

// RequireName returns the name in the section's title, and records an error if it is missing or invalid.
func (s *Section) RequireName() string {
	name, err := Name(s.Name)
	if err != nil {
		s.document.AddProblem("[%s %s]: %v", s.Kind, s.Name, err)
	}
	return name
}

// AddProblem records an error that concerns one key.
func (s *Section) AddProblem(key, format string, args ...any) {
	s.document.AddProblem("[%s] %s: %s", s.title(), key, fmt.Sprintf(format, args...))
}

func (s *Section) title() string {
	return strings.TrimSpace(s.Kind + " " + s.Name)
}

func (s *Section) reportUnused() {
	var unknown []string
	for key := range s.keys {
		if !s.used[key] {
			unknown = append(unknown, key)
		}
	}
	sort.Strings(unknown)
	for _, key := range unknown {
		s.AddProblem(key, "unknown key")
	}
}

// value returns the value of a key and whether the key is present. It records an error if the key is repeated.
func (s *Section) value(key string) (string, bool) {
	s.used[key] = true
	values := s.keys[key]
	if len(values) == 0 {
		return "", false
	}
	if len(values) > 1 {
		s.AddProblem(key, "appears %d times", len(values))
	}
	return values[0], true
}
