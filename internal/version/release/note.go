package release

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"mustardreach.example/mustardreach/internal/process/inifile"
)

// Note is one release note as written by operators.
type Note struct {
	// ID identifies the note when its answer was lost and it is sent again.
	ID string
	// Base is the version that the note was written against; 0 means any.
	Base uint64
	// Changes are in the order of the text.
	Changes []Change

	file inifile.File
}

// Verb is the kind of a change.
type Verb string

// The verbs of a change.
const (
	Added     Verb = "added"
	Changed   Verb = "changed"
	Withdrawn Verb = "withdrawn"
)

// Change is one section of a note.
type Change struct {
	Verb Verb
	// Kind is service, class, quota, zone or worker.
	Kind string
	Name string
	// Line is the line on which the section starts.
	Line int
	// Values are the section's keys and values.
	Values []inifile.Entry
}

const noteSection = "note"

// ParseNote parses a note and checks every value that can be checked without
// the state in force. name is the file's name in error texts, which also give
// the line and the key or section at fault.
func ParseNote(name string, text []byte) (*Note, error) {
	file, err := inifile.Parse(name, text)
	if err != nil {
		return nil, err
	}
	note := &Note{
		file: file,
	}
	index := map[string]int{}
	for _, section := range file.Sections {
		if section.Name == noteSection {
			continue
		}
		change, err := note.parseHeading(section)
		if err != nil {
			return nil, err
		}
		index[section.Name] = len(note.Changes)
		note.Changes = append(note.Changes, change)
	}
	for _, entry := range file.Entries {
		if at, ok := index[entry.Section]; ok {
			note.Changes[at].Values = append(note.Changes[at].Values, entry)
			continue
		}
		if err := note.parseNoteKey(entry); err != nil {
			return nil, err
		}
	}
	for _, change := range note.Changes {
		if err := note.checkValues(change); err != nil {
			return nil, err
		}
	}
	if len(note.Changes) == 0 {
		return nil, fmt.Errorf("%s:1: note: names no change; add a section such as [withdrawn zone NAME]", name)
	}
	return note, nil
}

// checkValues sets a change's keys on an empty object of its kind, so that a
// bad value is found without the state in force.
func (n *Note) checkValues(change Change) error {
	if change.Verb == Withdrawn {
		return nil // a withdrawn section takes no keys; Apply checks a worker's
	}
	switch change.Kind {
	case "service":
		return n.setService(&Service{}, change)
	case "class":
		return n.setClass(&Class{}, change)
	case "quota":
		return n.setQuota(&Quota{}, change)
	}
	return nil
}

func (n *Note) parseHeading(section inifile.Section) (Change, error) {
	words := strings.Fields(section.Name)
	if len(words) != 3 {
		return Change{}, n.file.Errorf(section.Line, section.Name, "expected [added|changed|withdrawn KIND NAME]")
	}
	change := Change{
		Verb: Verb(words[0]),
		Kind: words[1],
		Name: words[2],
		Line: section.Line,
	}
	switch change.Verb {
	case Added, Changed, Withdrawn:
	default:
		return Change{}, n.file.Errorf(section.Line, section.Name, "%q is not added, changed or withdrawn", words[0])
	}
	switch change.Kind {
	case "service", "class", "quota", "zone", "worker":
	default:
		return Change{}, n.file.Errorf(section.Line, section.Name, "%q is not service, class, quota, zone or worker", words[1])
	}
	return change, nil
}

func (n *Note) parseNoteKey(entry inifile.Entry) error {
	switch {
	case entry.Section == noteSection && entry.Key == "id":
		n.ID = entry.Value
		return nil
	case entry.Section == noteSection && entry.Key == "base":
		base, err := strconv.ParseUint(entry.Value, 10, 64)
		if err != nil {
			return n.file.Errorf(entry.Line, entry.Key, "%q is not a version number", entry.Value)
		}
		n.Base = base
		return nil
	}
	return n.file.Errorf(entry.Line, entry.Key, "unknown key; [note] takes id and base")
}

// Apply checks the whole note against the state and returns the next state. The
// state itself does not change. The error is a *ConflictError if the note's
// base is not the state's version, and otherwise names the line and the key or
// section at fault.
func (n *Note) Apply(state *State) (*State, error) {
	if n.Base != 0 && n.Base != state.Version {
		return nil, &ConflictError{
			Version: state.Version,
			NoteID:  state.NoteID,
		}
	}
	next := state.Clone()
	for _, change := range n.Changes {
		if err := n.apply(next, change); err != nil {
			return nil, err
		}
	}
	next.Version = state.Version + 1
	next.NoteID = n.ID
	return next, nil
}

// ConflictError reports that another note came first: the base of this note is
// not the version in force.
type ConflictError struct {
	// Version and NoteID are those in force.
	Version uint64
	NoteID  string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("lost to note %s, now in force as version %d; show it, then apply again", e.NoteID, e.Version)
}

func (n *Note) apply(state *State, change Change) error {
	switch change.Kind {
	case "service":
		return applyTo(n, state.Services, change, n.setService)
	case "class":
		return applyTo(n, state.Classes, change, n.setClass)
	case "quota":
		return applyTo(n, state.Quotas, change, n.setQuota)
	case "zone":
		return n.applyZone(state, change)
	default:
		return n.applyWorker(state, change)
	}
}

// applyTo adds, changes or removes one named object.
func applyTo[V any](n *Note, objects map[string]V, change Change, set func(*V, Change) error) error {
	object, exists := objects[change.Name]
	switch {
	case change.Verb == Added && exists:
		return n.changeError(change, "exists already; use changed")
	case change.Verb != Added && !exists:
		return n.changeError(change, "does not exist; use added")
	case change.Verb == Withdrawn && len(change.Values) > 0:
		return n.changeError(change, "withdrawn takes no keys")
	case change.Verb == Withdrawn:
		delete(objects, change.Name)
		return nil
	}
	if err := set(&object, change); err != nil {
		return err
	}
	objects[change.Name] = object
	return nil
}

func (n *Note) changeError(change Change, reason string) error {
	return n.file.Errorf(change.Line, change.Kind+" "+change.Name, "%s", reason)
}

// applyZone marks a withdrawn zone as out but keeps it; added clears the mark.
func (n *Note) applyZone(state *State, change Change) error {
	zone, exists := state.Zones[change.Name]
	switch {
	case change.Verb == Added && exists && !zone.Out:
		return n.changeError(change, "exists already and is not withdrawn; use changed")
	case change.Verb != Added && !exists:
		return n.changeError(change, "does not exist; use added")
	case change.Verb == Withdrawn && zone.Out:
		return n.changeError(change, "is withdrawn already")
	}
	switch change.Verb {
	case Added:
		zone.Out = false
	case Withdrawn:
		zone.Out = true
	}
	for _, entry := range change.Values {
		if entry.Key != "region" {
			return n.unknownKey(entry, "region")
		}
		zone.Region = entry.Value
	}
	state.Zones[change.Name] = zone
	return nil
}

// applyWorker records withdrawn workers; added removes the record.
func (n *Note) applyWorker(state *State, change Change) error {
	worker := Worker{
		Out: change.Verb == Withdrawn,
	}
	for _, entry := range change.Values {
		if entry.Key != "lost" || change.Verb != Withdrawn {
			return n.unknownKey(entry, "lost, in a withdrawn section")
		}
		if err := n.boolean(entry, &worker.Lost); err != nil {
			return err
		}
	}
	if change.Verb == Withdrawn {
		state.Workers[change.Name] = worker
		return nil
	}
	if _, exists := state.Workers[change.Name]; !exists {
		return n.changeError(change, "is not withdrawn; workers come from the platform's list")
	}
	delete(state.Workers, change.Name)
	return nil
}

func (n *Note) unknownKey(entry inifile.Entry, known string) error {
	return n.file.Errorf(entry.Line, entry.Key, "unknown key; known here: %s", known)
}

// minConnections is the lowest connection limit that the hosts can keep to:
// each keeps a few idle connections to every runner besides those in use.
const minConnections = 64

func (n *Note) setService(service *Service, change Change) error {
	if change.Verb == Added {
		*service = Service{
			Timeout:     2 * time.Second,
			Slots:       8,
			Connections: 64,
			Target:      0.999,
			Latency:     200 * time.Millisecond,
		}
	}
	for _, entry := range change.Values {
		var err error
		switch entry.Key {
		case "idempotent":
			err = n.boolean(entry, &service.Idempotent)
		case "timeout":
			err = n.duration(entry, &service.Timeout)
		case "latency":
			err = n.duration(entry, &service.Latency)
		case "slots":
			err = n.integer(entry, &service.Slots, 1, 1000)
		case "connections":
			err = n.integer(entry, &service.Connections, minConnections, 100000)
		case "target":
			err = n.fraction(entry, &service.Target)
		default:
			err = n.unknownKey(entry, "idempotent, timeout, latency, slots, connections, target")
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (n *Note) setClass(class *Class, change Change) error {
	if change.Verb == Added {
		*class = Class{
			Retries:   3,
			Isolation: IsolationFinish,
		}
	}
	for _, entry := range change.Values {
		var err error
		switch entry.Key {
		case "watcher":
			err = n.boolean(entry, &class.Watcher)
		case "urgent":
			err = n.boolean(entry, &class.Urgent)
		case "rerun":
			err = n.boolean(entry, &class.Rerun)
		case "retries":
			err = n.integer(entry, &class.Retries, 0, 1000)
		case "isolation":
			class.Isolation = Isolation(entry.Value)
			if class.Isolation != IsolationFinish {
				err = n.file.Errorf(entry.Line, entry.Key, "%q is not finish, the only isolation policy", entry.Value)
			}
		default:
			err = n.unknownKey(entry, "watcher, urgent, rerun, retries, isolation")
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (n *Note) setQuota(quota *Quota, change Change) error {
	const gigabyte = 1_000_000_000
	for _, entry := range change.Values {
		var amount int
		if err := n.integer(entry, &amount, 0, 1_000_000); err != nil {
			return err
		}
		switch entry.Key {
		case "cores":
			quota.Size.MilliCores = int64(amount) * 1000
		case "memory_gb":
			quota.Size.MemoryBytes = int64(amount) * gigabyte
		case "accelerators":
			quota.Size.Accelerators = int64(amount)
		default:
			return n.unknownKey(entry, "cores, memory_gb, accelerators")
		}
	}
	return nil
}

func (n *Note) boolean(entry inifile.Entry, target *bool) error {
	parsed, err := strconv.ParseBool(entry.Value)
	if err != nil {
		return n.file.Errorf(entry.Line, entry.Key, "%q is not true or false", entry.Value)
	}
	*target = parsed
	return nil
}

func (n *Note) duration(entry inifile.Entry, target *time.Duration) error {
	parsed, err := time.ParseDuration(entry.Value)
	if err != nil || parsed <= 0 {
		return n.file.Errorf(entry.Line, entry.Key, "%q is not a duration above zero", entry.Value)
	}
	*target = parsed
	return nil
}

func (n *Note) integer(entry inifile.Entry, target *int, lowest, highest int) error {
	parsed, err := strconv.Atoi(entry.Value)
	if err != nil || parsed < lowest || parsed > highest {
		return n.file.Errorf(entry.Line, entry.Key, "%q is not a whole number from %d to %d", entry.Value, lowest, highest)
	}
	*target = parsed
	return nil
}

func (n *Note) fraction(entry inifile.Entry, target *float64) error {
	parsed, err := strconv.ParseFloat(entry.Value, 64)
	if err != nil || !(parsed > 0 && parsed < 1) {
		return n.file.Errorf(entry.Line, entry.Key, "%q is not between 0 and 1", entry.Value)
	}
	*target = parsed
	return nil
}
