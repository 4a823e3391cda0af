package message

import (
	"bytes"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mustardreach.example/mustardreach/internal/process/golden"
)

func TestMain(m *testing.M) {
	golden.Main(m, 100)
}

func TestHeartbeatRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := Heartbeat{
			Seq:          rapid.Uint64().Draw(t, "seq"),
			Echo:         rapid.Uint64().Draw(t, "echo"),
			ConfirmedAge: time.Duration(rapid.Int64().Draw(t, "age")),
			NotAccepting: rapid.Bool().Draw(t, "quiet"),
			Suspected:    rapid.SliceOfN(rapid.String(), 1, 3).Draw(t, "doubted"),
		}
		frame, err := Encode(KindHeartbeat, sent)
		require.NoError(t, err)
		envelope, err := Decode(frame)
		require.NoError(t, err)
		received, err := Open[Heartbeat](envelope)
		require.NoError(t, err)
		require.Equal(t, sent, received)
	})
}

// TestUnknownFieldsAreSkipped guards against a rolling upgrade that cuts hosts
// off from each other: a newer host sends a higher version and a field that the
// older one does not know, and the older one must still read the rest.
func TestUnknownFieldsAreSkipped(t *testing.T) {
	newer := struct {
		Seq    uint64 `cbor:"1,keyasint"`
		Future string `cbor:"99,keyasint"`
	}{
		Seq:    7,
		Future: "unknown here",
	}
	body, err := cbor.Marshal(newer)
	require.NoError(t, err)
	frame, err := cbor.Marshal(Envelope{
		Version: Version + 1,
		Kind:    KindHeartbeat,
		Body:    body,
	})
	require.NoError(t, err)
	envelope, err := Decode(frame)
	require.NoError(t, err)
	heartbeat, err := Open[Heartbeat](envelope)
	require.NoError(t, err)
	assert.Equal(t, uint64(7), heartbeat.Seq)
}

// TestOversizedFramesAreRefused guards against frames of a few bytes that
// announce huge contents, and so make the decoder exhaust memory or the stack,
// and against frames that are empty or have no valid version.
func TestOversizedFramesAreRefused(t *testing.T) {
	tests := map[string][]byte{
		"deep nesting":           append(bytes.Repeat([]byte{0x81}, 64), 0x00),
		"a huge array announced": {0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"a huge text announced":  {0x7b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"nothing":                {},
		"version zero":           {0xa1, 0x01, 0x00},
	}
	for name, frame := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Decode(frame)
			assert.Error(t, err)
		})
	}
}

func FuzzDecode(f *testing.F) {
	frame, err := Encode(KindHeartbeat, Heartbeat{
		Seq: 1,
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(frame)
	f.Add([]byte{0xa0})
	f.Fuzz(func(_ *testing.T, frame []byte) {
		envelope, err := Decode(frame)
		if err != nil {
			return
		}
		_, _ = Open[Heartbeat](envelope)
		_, _ = Open[CreditReport](envelope)
		_, _ = Open[CreditGrant](envelope)
		_, _ = Open[Hello](envelope)
		_, _ = Open[StateResponse](envelope)
		_, _ = Open[Handover](envelope)
	})
}

// Hosts of both releases run side by side during an upgrade: an answer without
// the owner must not read as the answer about a job of no organisation, and the
// new fields must not disturb an earlier release.
func TestAnswerOfBothReleases(t *testing.T) {
	type earlierAnswer struct {
		Number  uint64 `cbor:"1,keyasint"`
		Known   bool   `cbor:"2,keyasint,omitempty"`
		State   uint8  `cbor:"3,keyasint,omitempty"`
		Pending int    `cbor:"4,keyasint,omitempty"`
	}
	earlier := earlierAnswer{
		Number: 7,
		Known:  true,
		State:  1,
	}
	frame, err := Encode(KindAnswer, earlier)
	require.NoError(t, err)
	envelope, err := Decode(frame)
	require.NoError(t, err)
	received, err := Open[Answer](envelope)
	require.NoError(t, err)
	assert.True(t, received.Known)
	assert.False(t, received.OwnerKnown)

	frame, err = Encode(KindAnswer, Answer{
		Number:       7,
		Known:        true,
		State:        1,
		OwnerKnown:   true,
		Organisation: "paper",
	})
	require.NoError(t, err)
	envelope, err = Decode(frame)
	require.NoError(t, err)
	read, err := Open[earlierAnswer](envelope)
	require.NoError(t, err)
	assert.Equal(t, earlier, read)
}

// TestReportIsOptional guards against a rolling upgrade in which hosts of the
// earlier release cannot read questions with a report, or in which a question
// without one is read as a report of no lag.
func TestReportIsOptional(t *testing.T) {
	type earlierQuestion struct {
		Number uint64 `cbor:"1,keyasint"`
		Job    string `cbor:"2,keyasint,omitempty"`
		Queue  string `cbor:"3,keyasint,omitempty"`
		Shard  int    `cbor:"4,keyasint,omitempty"`
	}
	earlier := earlierQuestion{
		Number: 7,
		Job:    "a",
		Shard:  3,
	}
	frame, err := Encode(KindQuestion, earlier)
	require.NoError(t, err)
	envelope, err := Decode(frame)
	require.NoError(t, err)
	question, err := Open[Question](envelope)
	require.NoError(t, err)
	assert.Nil(t, question.Report)
	question.Report = &HostReport{
		MilliCores: 800,
		Lag:        time.Second,
	}
	frame, err = Encode(KindQuestion, question)
	require.NoError(t, err)
	envelope, err = Decode(frame)
	require.NoError(t, err)
	read, err := Open[earlierQuestion](envelope)
	require.NoError(t, err)
	assert.Equal(t, earlier, read)
}
