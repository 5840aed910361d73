// Package parser reads typed values from INI documents and reports every fault with its line, section and key.
package parser

import (
	"bufio"
	"bytes"
	"maps"
	"strings"

	"gopkg.in/ini.v1"
)

// Section is a section of a document. Its heading is a kind, or a kind and a name.
type Section struct {
	Kind string
	Name string
	Line int

	keys  map[string]string
	lines map[string]int
	read  map[string]bool
}

// Title returns the heading without brackets.
func (s *Section) Title() string {
	return strings.TrimSpace(s.Kind + " " + s.Name)
}

// Values returns a copy of the section's keys and values.
func (s *Section) Values() map[string]string { return maps.Clone(s.keys) }

// Document is a parsed source. Its methods read values by type and record faults, which Err returns.
type Document struct {
	Source   string
	Sections []*Section

	faults []Fault
}

// Parse splits a document into sections; source names it in faults. Err reports syntax faults too.
func Parse(source string, data []byte) *Document {
	d := &Document{Source: source}
	if bytes.IndexByte(data, 0) >= 0 {
		d.Fault(nil, "", "text without NUL bytes", "a NUL byte")
		return d
	}
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreInlineComment:     false,
		SkipUnrecognizableLines: false,
		ChildSectionDelimiter:   "\x00",
		IgnoreContinuation:      true,
	}, data)
	if err != nil {
		d.Fault(nil, "", "sections of key = value lines", err.Error())
		return d
	}
	positions := scanPositions(d, data)
	for _, section := range file.Sections() {
		d.addSection(section, positions)
	}
	return d
}

// addSection adds a parsed section. Keys before the first section are a fault.
func (d *Document) addSection(section *ini.Section, positions map[string]*sectionPosition) {
	if section.Name() == ini.DefaultSection {
		if len(section.Keys()) > 0 {
			d.Fault(nil, section.Keys()[0].Name(), "keys inside a section", "a key before the first section")
		}
		return
	}
	kind, name, _ := strings.Cut(section.Name(), " ")
	s := &Section{
		Kind:  kind,
		Name:  strings.TrimSpace(name),
		keys:  map[string]string{},
		lines: map[string]int{},
		read:  map[string]bool{},
	}
	if p, ok := positions[section.Name()]; ok {
		s.Line = p.line
		s.lines = p.keys
	}
	for _, k := range section.Keys() {
		s.keys[k.Name()] = strings.TrimSpace(k.String())
	}
	d.Sections = append(d.Sections, s)
}

// sectionPosition holds the line numbers of a section's heading and keys.
type sectionPosition struct {
	line int
	keys map[string]int
}

// scanPositions finds the line numbers of sections and keys, and records duplicates as faults. The library merges
// duplicates without an error: the limits of the first of two sections would be ignored.
func scanPositions(d *Document, data []byte) map[string]*sectionPosition {
	positions := map[string]*sectionPosition{}
	var current *sectionPosition
	lines := bufio.NewScanner(bytes.NewReader(data))
	lines.Buffer(nil, len(data)+1)
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || line[0] == ';' || line[0] == '#' {
			continue
		}
		if line[0] == '[' {
			current = scanHeading(d, positions, line, number)
			continue
		}
		scanKey(d, current, line, number)
	}
	return positions
}

func scanHeading(d *Document, positions map[string]*sectionPosition, line string, number int) *sectionPosition {
	name := strings.TrimSpace(strings.TrimPrefix(line, "["))
	if end := strings.IndexByte(name, ']'); end >= 0 {
		name = strings.TrimSpace(name[:end])
	}
	if _, ok := positions[name]; ok {
		d.faults = append(d.faults, Fault{d.Source, number, name, "", "each section once", "the section again"})
	}
	positions[name] = &sectionPosition{number, map[string]int{}}
	return positions[name]
}

func scanKey(d *Document, current *sectionPosition, line string, number int) {
	at := strings.IndexAny(line, "=:")
	if at < 0 || current == nil {
		return
	}
	name := strings.TrimSpace(line[:at])
	if _, ok := current.keys[name]; ok {
		d.faults = append(d.faults, Fault{d.Source, number, "", name, "each key once", "the key again"})
	}
	current.keys[name] = number
}

// Fault records a fault: what was expected at a key of a section, and what was found. The section may be nil and the
// key empty.
func (d *Document) Fault(s *Section, key, expected, got string) {
	fault := Fault{Source: d.Source, Key: key, Expected: expected, Got: got}
	if s != nil {
		fault.Section = s.Title()
		fault.Line = s.Line
		if line, ok := s.lines[key]; ok {
			fault.Line = line
		}
	}
	d.faults = append(d.faults, fault)
}

// Err returns all faults found so far as a *FaultsError, or nil. Keys that were never read are faults too: they are
// unknown.
func (d *Document) Err() error {
	for _, s := range d.Sections {
		for key := range s.keys {
			if !s.read[key] {
				s.read[key] = true
				d.Fault(s, key, "a key known here", "an unknown key")
			}
		}
	}
	if len(d.faults) == 0 {
		return nil
	}
	sortFaults(d.faults)
	return &FaultsError{Faults: d.faults}
}
