// Package message defines what entry hosts say to each other: CBOR in
// WebSocket frames, one Envelope a frame. Fields have numbers, unknown ones
// are skipped, so that an older and a newer version understand each other.
package message

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Version is the protocol version that this program writes.
const Version = 1

// OldestVersion is the oldest version that this program reads.
const OldestVersion = 1

// Kind tells what an Envelope holds.
type Kind uint8

// The kinds of message.
const (
	KindChallenge Kind = iota + 1
	KindHello
	KindWelcome
	KindHeartbeat
	KindCreditReport
	KindCreditGrant
	KindStateAsk
	KindStateGive
	KindJobHint
	KindBook
	KindQuestion
	KindAnswer
)

// Envelope is one message.
type Envelope struct {
	Version uint8           `cbor:"1,keyasint"`
	Kind    Kind            `cbor:"2,keyasint"`
	Body    cbor.RawMessage `cbor:"3,keyasint"`
}

// Info describes an entry host.
type Info struct {
	Host string `cbor:"1,keyasint" json:"host"`
	Zone string `cbor:"2,keyasint" json:"zone"`
	// Incarnation differs for each start of the process.
	Incarnation string         `cbor:"3,keyasint" json:"incarnation"`
	Peers       netip.AddrPort `cbor:"4,keyasint" json:"peers"`
	Operators   netip.AddrPort `cbor:"5,keyasint" json:"operators"`
	Region      string         `cbor:"6,keyasint,omitempty" json:"region,omitempty"`
	Build       string         `cbor:"7,keyasint,omitempty" json:"build,omitempty"`
}

// Challenge opens the handshake on the accepting side.
type Challenge struct {
	Nonce []byte `cbor:"1,keyasint"`
}

// Hello answers a Challenge; Proof binds both nonces and the key.
type Hello struct {
	Info  Info   `cbor:"1,keyasint"`
	Nonce []byte `cbor:"2,keyasint"`
	Proof []byte `cbor:"3,keyasint"`
}

// Welcome ends the handshake and proves the accepting side.
type Welcome struct {
	Info  Info   `cbor:"1,keyasint"`
	Proof []byte `cbor:"2,keyasint"`
}

// Claim names a right and an epoch.
type Claim struct {
	Right string `cbor:"1,keyasint" json:"right"`
	Epoch uint64 `cbor:"2,keyasint" json:"epoch"`
}

// Heartbeat is sent to each peer at an interval.
type Heartbeat struct {
	// Seq grows by one with each heartbeat to the same peer.
	Seq uint64 `cbor:"1,keyasint"`
	// Echo is the newest Seq heard from that peer; what this heartbeat says
	// was therefore true after that one was sent.
	Echo uint64 `cbor:"2,keyasint,omitempty"`
	// ReleaseVersion is in force here.
	ReleaseVersion uint64 `cbor:"3,keyasint,omitempty"`
	// ConfirmedAge is the age of the newest confirmation of that version from
	// the store; zero means none that is still useful.
	ConfirmedAge time.Duration `cbor:"4,keyasint,omitempty"`
	// Quiet says that the store is out of reach and no note is being accepted.
	Quiet bool `cbor:"5,keyasint,omitempty"`
	// Held are the rights that the sender holds.
	Held []Claim `cbor:"6,keyasint,omitempty"`
	// Promised are rights that the sender will not take for one term.
	Promised []Claim `cbor:"7,keyasint,omitempty"`
	// Doubted are hosts that the sender does not hear.
	Doubted []string `cbor:"8,keyasint,omitempty"`
	// Leaving says that the sender is shutting down.
	Leaving bool `cbor:"9,keyasint,omitempty"`
	// Gifted are rights that the sender gave up for the receiver alone.
	Gifted []Claim `cbor:"10,keyasint,omitempty"`
	// Room is the free room of the zone's workers, from its dispatcher:
	// thousandths of a core, bytes, accelerators.
	Room []int64 `cbor:"11,keyasint,omitempty"`
	// Asking wants a heartbeat in return at once.
	Asking bool `cbor:"12,keyasint,omitempty"`
}

// Book hands a lender's loans to its successor.
type Book struct {
	Right string `cbor:"1,keyasint"`
	// Epoch is the one that was given up.
	Epoch   uint64               `cbor:"2,keyasint"`
	Entries map[string]BookEntry `cbor:"3,keyasint"`
}

// BookEntry is one borrower's loans.
type BookEntry struct {
	Incarnation string         `cbor:"1,keyasint"`
	Counted     map[string]int `cbor:"2,keyasint"`
	Local       bool           `cbor:"3,keyasint"`
}

// CreditReport tells a steward what a host holds and wants.
type CreditReport struct {
	// Lender names a zone and a set of its runners.
	Lender string `cbor:"1,keyasint"`
	// Seq grows with each report of one incarnation.
	Seq uint64 `cbor:"2,keyasint"`
	// Epoch and Grant name the newest grant that was applied.
	Epoch uint64 `cbor:"3,keyasint"`
	Grant uint64 `cbor:"4,keyasint"`
	// Held is the slots in use or usable, by runner.
	Held map[string]int `cbor:"5,keyasint,omitempty"`
	// Demand is the number of slots that the host could use now.
	Demand int `cbor:"6,keyasint"`
	// Incarnation tells a restarted borrower from the one before.
	Incarnation string `cbor:"7,keyasint"`
	// To is the epoch of the lender that is meant; any other skips the report.
	To uint64 `cbor:"8,keyasint"`
}

// CreditGrant lends slots to a host, all of a zone in one message.
type CreditGrant struct {
	Lender string `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
	// Grant grows with each message to one host.
	Grant uint64 `cbor:"3,keyasint"`
	// Report echoes the report that was answered; the term runs from when
	// that report was sent.
	Report uint64 `cbor:"4,keyasint"`
	// Slots is the most slots by runner; a runner left out has none.
	Slots map[string]int `cbor:"5,keyasint,omitempty"`
	// Incarnation is that of the borrower.
	Incarnation string `cbor:"6,keyasint"`
}

// StateAsk asks a peer for the release state in force there.
type StateAsk struct {
	// Above is the version in force at the asking host.
	Above uint64 `cbor:"1,keyasint"`
}

// StateGive carries an encoded release state.
type StateGive struct {
	State []byte `cbor:"1,keyasint"`
}

// JobHint tells a dispatcher that job records have changed.
type JobHint struct {
	Jobs []string `cbor:"1,keyasint"`
}

// Question asks the leader about a job or a queue.
type Question struct {
	// Number is echoed by the Answer.
	Number uint64 `cbor:"1,keyasint"`
	Job    string `cbor:"2,keyasint,omitempty"`
	Queue  string `cbor:"3,keyasint,omitempty"`
}

// Answer is the leader's word.
type Answer struct {
	Number uint64 `cbor:"1,keyasint"`
	// Known is false if the host asked does not lead or cannot tell.
	Known   bool  `cbor:"2,keyasint,omitempty"`
	State   uint8 `cbor:"3,keyasint,omitempty"`
	Pending int   `cbor:"4,keyasint,omitempty"`
}

var (
	// ErrMalformed marks bytes that are not a message.
	ErrMalformed = errors.New("malformed message")
	// ErrVersion marks a message of a version that is not understood.
	ErrVersion = errors.New("message version not understood")
)

const (
	mostElements = 16384
	mostNesting  = 8
)

var (
	encoding = must(cbor.EncOptions{TextMarshaler: cbor.TextMarshalerTextString}.EncMode())
	decoding = must(cbor.DecOptions{
		MaxArrayElements: mostElements,
		MaxMapPairs:      mostElements,
		MaxNestedLevels:  mostNesting,
		TextUnmarshaler:  cbor.TextUnmarshalerTextString,
	}.DecMode())
)

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// Encode wraps a body into an envelope.
func Encode(kind Kind, body any) ([]byte, error) {
	inner, err := encoding.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	return encoding.Marshal(Envelope{
		Version: Version,
		Kind:    kind,
		Body:    inner,
	})
}

// Decode opens an envelope.
func Decode(frame []byte) (Envelope, error) {
	var envelope Envelope
	if err := decoding.Unmarshal(frame, &envelope); err != nil {
		return envelope, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if envelope.Version < OldestVersion {
		return envelope, fmt.Errorf("%w: %d", ErrVersion, envelope.Version)
	}
	return envelope, nil
}

// Open decodes the body of an envelope.
func Open[T any](envelope Envelope) (T, error) {
	var body T
	if err := decoding.Unmarshal(envelope.Body, &body); err != nil {
		return body, fmt.Errorf("%w: kind %d: %v", ErrMalformed, envelope.Kind, err)
	}
	return body, nil
}
