// Package inifile parses INI text and keeps the line number of each key, so
// that errors about a value can name file, line and key.
package inifile

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// ErrSyntax marks text that is not a well-formed INI file.
var ErrSyntax = errors.New("not a well-formed INI file")

// Entry is one key with its value.
type Entry struct {
	// Section is the text between the brackets; empty before the first section.
	Section string
	// Key is lower case and unique within its section.
	Key string
	// Value has quotes and inline comments removed.
	Value string
	// Line counts from 1.
	Line int
}

// Section is one section heading.
type Section struct {
	// Name is the text between the brackets, unique in the file.
	Name string
	// Line counts from 1.
	Line int
}

// File is a parsed INI file.
type File struct {
	// Name is the file name used in error messages.
	Name string
	// Sections are in the order of the text.
	Sections []Section
	// Entries are in the order of the text.
	Entries []Entry
}

// Parse parses the text; name is used in error messages. Repeated sections and
// repeated keys of a section are errors. The errors wrap ErrSyntax or name
// file, line and key.
func Parse(name string, text []byte) (File, error) {
	parsed, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "="}, text)
	if err != nil {
		return File{}, fmt.Errorf("%s: %w: %v", name, ErrSyntax, err)
	}
	file := File{Name: name}
	section := ""
	// definedAt maps "[SECTION" and "SECTION]KEY" to the line that defines it.
	definedAt := map[string]int{}
	scanner := bufio.NewScanner(bytes.NewReader(text))
	for line := 1; scanner.Scan(); line++ {
		trimmed := strings.TrimSpace(scanner.Text())
		switch {
		case trimmed == "" || trimmed[0] == '#' || trimmed[0] == ';':
			continue
		case trimmed[0] == '[':
			section = strings.TrimSpace(strings.Trim(trimmed, "[]"))
			if first, ok := definedAt["["+section]; ok {
				return File{}, file.Errorf(line, section, "section is already defined at line %d", first)
			}
			definedAt["["+section] = line
			file.Sections = append(file.Sections, Section{
				Name: section,
				Line: line,
			})
			continue
		}
		key, _, found := strings.Cut(trimmed, "=")
		if !found {
			return File{}, file.Errorf(line, trimmed, "expected key = value")
		}
		entry, err := file.entry(parsed, section, strings.TrimSpace(key), line)
		if err != nil {
			return File{}, err
		}
		if first, ok := definedAt[section+"]"+entry.Key]; ok {
			return File{}, file.Errorf(line, entry.Key, "key is already defined at line %d", first)
		}
		definedAt[section+"]"+entry.Key] = line
		file.Entries = append(file.Entries, entry)
	}
	if err := scanner.Err(); err != nil {
		return File{}, fmt.Errorf("%s: %w: %v", name, ErrSyntax, err)
	}
	return file, nil
}

// entry returns the value that the INI library has parsed for the key.
func (f File) entry(parsed *ini.File, section, key string, line int) (Entry, error) {
	name := section
	if name == "" {
		name = ini.DefaultSection
	}
	if !parsed.Section(name).HasKey(key) {
		return Entry{}, f.Errorf(line, key, "cannot be read as key = value")
	}
	return Entry{
		Section: section,
		Key:     strings.ToLower(key),
		Value:   parsed.Section(name).Key(key).String(),
		Line:    line,
	}, nil
}

// Errorf returns an error that names file, line and key.
func (f File) Errorf(line int, key, format string, args ...any) error {
	return fmt.Errorf("%s:%d: %s: %s", f.Name, line, key, fmt.Sprintf(format, args...))
}
