package release

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mustardreach.example/mustardreach/internal/process/golden"
)

const firstNote = `[note]
id = first

[added zone recife]
region = nordeste

[added service quotes]
idempotent = true
timeout = 1s

[added class plan]
retries = 2

[added quota cadeira]
cores = 100
`

func TestMain(m *testing.M) {
	golden.Main(m, 100)
}

func apply(t *testing.T, state *State, text string) *State {
	t.Helper()
	note, err := ParseNote("note.ini", []byte(text))
	require.NoError(t, err)
	next, err := note.Apply(state)
	require.NoError(t, err)
	return next
}

// TestNotesAreRefusedWithLineAndKey guards against a bad note that is accepted,
// or refused without the place of the fault.
func TestNotesAreRefusedWithLineAndKey(t *testing.T) {
	tests := map[string]struct {
		text  string
		wants []string
	}{
		"no change": {
			text:  "[note]\nid = x\n",
			wants: []string{"note.ini:1:", "names no change"},
		},
		"unknown verb": {
			text:  "[removed zone recife]\n",
			wants: []string{"note.ini:1:", `"removed"`},
		},
		"unknown kind": {
			text:  "[added shelf recife]\n",
			wants: []string{"note.ini:1:", `"shelf"`},
		},
		"unknown key of a service": {
			text:  "[changed service quotes]\n\nspeed = 3\n",
			wants: []string{"note.ini:3:", "speed", "unknown key"},
		},
		"a duration below zero": {
			text:  "[changed service quotes]\ntimeout = -1s\n",
			wants: []string{"note.ini:2:", "timeout", "above zero"},
		},
		"a size above the limit": {
			text:  "[changed quota cadeira]\ncores = 99999999999\n",
			wants: []string{"note.ini:2:", "cores"},
		},
		"zone added twice": {
			text:  "[added zone recife]\n",
			wants: []string{"note.ini:1:", "exists already and is not withdrawn"},
		},
		"withdrawn but does not exist": {
			text:  "[withdrawn class nothing]\n",
			wants: []string{"note.ini:1:", "does not exist"},
		},
		"the same section twice": {
			text:  "[changed class plan]\nretries = 1\n[changed class plan]\nretries = 2\n",
			wants: []string{"note.ini:3:", "line 1"},
		},
		"the same key twice": {
			text:  "[changed class plan]\nretries = 1\nretries = 2\n",
			wants: []string{"note.ini:3:", "line 2"},
		},
		"a base that is not a number": {
			text:  "[note]\nbase = many\n[withdrawn zone recife]\n",
			wants: []string{"note.ini:2:", "base"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			state := apply(t, &State{}, firstNote)
			note, err := ParseNote("note.ini", []byte(test.text))
			if err == nil {
				_, err = note.Apply(state)
			}
			require.Error(t, err)
			for _, want := range test.wants {
				assert.ErrorContains(t, err, want)
			}
		})
	}
}

// TestOutdatedBaseNamesTheNoteInForce guards against a note that overwrites a
// newer version; the error must name the note that came first.
func TestOutdatedBaseNamesTheNoteInForce(t *testing.T) {
	state := apply(t, &State{}, firstNote)
	note, err := ParseNote("late.ini", []byte("[note]\nid = late\nbase = 7\n[withdrawn zone recife]\n"))
	require.NoError(t, err)
	_, err = note.Apply(state)
	var conflict *ConflictError
	require.True(t, errors.As(err, &conflict))
	assert.Equal(t, "first", conflict.NoteID)
}

// TestApplyChangesNothingInPlace guards against a new version that changes the
// state still in force.
func TestApplyChangesNothingInPlace(t *testing.T) {
	state := apply(t, &State{}, firstNote)
	before := string(state.Encode())
	next := apply(t, state, "[withdrawn zone recife]\n[changed service quotes]\ntimeout = 3s\n")
	assert.Equal(t, before, string(state.Encode()))
	assert.False(t, next.ZoneActive("recife"))
	assert.Equal(t, 3*time.Second, next.Services["quotes"].Timeout)
	back := apply(t, next, "[added zone recife]\n")
	assert.True(t, back.ZoneActive("recife"))
	assert.Equal(t, "nordeste", back.Zones["recife"].Region)
}

func TestStateRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := &State{
			Version: rapid.Uint64().Draw(t, "version"),
			NoteID:  rapid.StringMatching(`[a-z0-9-]{0,20}`).Draw(t, "id"),
			Quotas:  map[string]Quota{},
		}
		decoded, err := Decode(state.Encode())
		require.NoError(t, err)
		require.Equal(t, state.Version, decoded.Version)
		require.Equal(t, state.NoteID, decoded.NoteID)
	})
	_, err := Decode([]byte("nothing"))
	require.ErrorIs(t, err, ErrState)
}

// TestGoldenNotes records the changes and errors that operators see for a
// series of notes.
func TestGoldenNotes(t *testing.T) {
	session := &golden.Session{}
	state := &State{}
	for i, text := range []string{
		firstNote,
		"[note]\nid = out\n[withdrawn zone recife]\n",
		"[note]\nid = racing\nbase = 1\n[withdrawn class plan]\n",
		"[note]\nid = bad\n[changed class plan]\nretries = -1\n",
		"[note]\nid = back\nbase = 2\n[added zone recife]\n[changed quota cadeira]\ncores = 50\n",
	} {
		at := time.Duration(i) * time.Second
		session.Add(at, "note: %s", strings.Join(strings.Fields(text), " "))
		note, err := ParseNote("note.ini", []byte(text))
		var next *State
		if err == nil {
			next, err = note.Apply(state)
		}
		if err != nil {
			session.Add(at, "refused: %v", err)
			continue
		}
		for _, line := range Difference(state, next) {
			session.Add(at, "%s", line)
		}
		session.Add(at, "in force: version %d by %s", next.Version, next.NoteID)
		state = next
	}
	session.Check(t, "notes")
}

func FuzzParseNote(f *testing.F) {
	f.Add([]byte(firstNote))
	f.Add([]byte("[withdrawn worker w1]\nlost = true\n"))
	f.Add([]byte("[[x]]\n=\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		note, err := ParseNote("note.ini", text)
		if err != nil {
			return
		}
		next, err := note.Apply(&State{})
		if err == nil && next.Version != 1 {
			t.Fatalf("version %d after the first note", next.Version)
		}
	})
}
