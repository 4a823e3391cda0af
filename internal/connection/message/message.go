// Package message defines the messages between entry hosts: CBOR in WebSocket
// frames, one Envelope per frame. Fields are numbered and unknown ones are
// skipped, so that older and newer versions interoperate.
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

// Kind is the type of the message in an Envelope.
type Kind uint8

// The kinds of message.
const (
	KindChallenge Kind = iota + 1
	KindHello
	KindWelcome
	KindHeartbeat
	KindCreditReport
	KindCreditGrant
	KindStateRequest
	KindStateResponse
	KindJobHint
	KindHandover
	KindQuestion
	KindAnswer
)

// Envelope is one message: a version, a kind and the encoded body.
type Envelope struct {
	Version uint8           `cbor:"1,keyasint"`
	Kind    Kind            `cbor:"2,keyasint"`
	Body    cbor.RawMessage `cbor:"3,keyasint"`
}

// Info describes an entry host.
type Info struct {
	Host string `cbor:"1,keyasint" json:"host"`
	Zone string `cbor:"2,keyasint" json:"zone"`
	// Incarnation is unique to each start of the process.
	Incarnation string `cbor:"3,keyasint" json:"incarnation"`
	// Peers and Operators are the addresses that the host serves other entry
	// hosts and operators on.
	Peers     netip.AddrPort `cbor:"4,keyasint" json:"peers"`
	Operators netip.AddrPort `cbor:"5,keyasint" json:"operators"`
	// Region and Build are empty if the sender does not report them.
	Region string `cbor:"6,keyasint,omitempty" json:"region,omitempty"`
	Build  string `cbor:"7,keyasint,omitempty" json:"build,omitempty"`
}

// Challenge opens the handshake; the accepting side sends it.
type Challenge struct {
	Nonce []byte `cbor:"1,keyasint"`
}

// Hello answers a Challenge. Proof is computed from the key and both nonces.
type Hello struct {
	Info  Info   `cbor:"1,keyasint"`
	Nonce []byte `cbor:"2,keyasint"`
	Proof []byte `cbor:"3,keyasint"`
}

// Welcome ends the handshake and authenticates the accepting side.
type Welcome struct {
	Info  Info   `cbor:"1,keyasint"`
	Proof []byte `cbor:"2,keyasint"`
}

// Claim names a right and the epoch at which it is held, abstained from or
// handed over.
type Claim struct {
	Right string `cbor:"1,keyasint" json:"right"`
	Epoch uint64 `cbor:"2,keyasint" json:"epoch"`
}

// Heartbeat is sent periodically to each peer.
type Heartbeat struct {
	// Seq increases by one with each heartbeat to the same peer.
	Seq uint64 `cbor:"1,keyasint"`
	// Echo is the newest Seq received from that peer. What this heartbeat says
	// was therefore true at some time after that peer sent that Seq.
	Echo uint64 `cbor:"2,keyasint,omitempty"`
	// ReleaseVersion is the version in force at the sender.
	ReleaseVersion uint64 `cbor:"3,keyasint,omitempty"`
	// ConfirmedAge is how long ago the store last confirmed that version; zero
	// means that there is no confirmation recent enough to be of use.
	ConfirmedAge time.Duration `cbor:"4,keyasint,omitempty"`
	// NotAccepting says that the sender cannot reach the store and is not
	// accepting a release note.
	NotAccepting bool `cbor:"5,keyasint,omitempty"`
	// Held are the rights that the sender holds.
	Held []Claim `cbor:"6,keyasint,omitempty"`
	// Abstentions are the rights that the sender abstains from acquiring for one
	// term.
	Abstentions []Claim `cbor:"7,keyasint,omitempty"`
	// Suspected are the hosts whose heartbeats no longer reach the sender.
	Suspected []string `cbor:"8,keyasint,omitempty"`
	// Leaving says that the sender is shutting down.
	Leaving bool `cbor:"9,keyasint,omitempty"`
	// HandedOver are the rights that the sender has handed over to the receiver
	// only.
	HandedOver []Claim `cbor:"10,keyasint,omitempty"`
	// FreeCapacity is the free capacity of the zone's workers, sent only by the
	// zone's dispatcher: thousandths of a core, bytes of memory, accelerators.
	FreeCapacity []int64 `cbor:"11,keyasint,omitempty"`
	// AwaitsConfirmation requests a heartbeat in return without delay.
	AwaitsConfirmation bool `cbor:"12,keyasint,omitempty"`
}

// Handover transfers the loans of a slot lender to its successor.
type Handover struct {
	Right string `cbor:"1,keyasint"`
	// Epoch is the epoch of the right that the lender gave up.
	Epoch   uint64                   `cbor:"2,keyasint"`
	Entries map[string]BorrowerLoans `cbor:"3,keyasint"`
}

// BorrowerLoans lists the loans of one borrower.
type BorrowerLoans struct {
	Incarnation string `cbor:"1,keyasint"`
	// Counted is the number of slots counted as used, by runner; never fewer
	// than the borrower uses.
	Counted map[string]int `cbor:"2,keyasint"`
	// Local says that the borrower is in the lender's zone.
	Local bool `cbor:"3,keyasint"`
}

// CreditReport reports the slots that a host holds and requests to a slot
// lender.
type CreditReport struct {
	// Lender names a zone and a shard of its runners.
	Lender string `cbor:"1,keyasint"`
	// Seq increases with each report of one incarnation.
	Seq uint64 `cbor:"2,keyasint"`
	// Epoch and Grant name the newest grant that was applied.
	Epoch uint64 `cbor:"3,keyasint"`
	Grant uint64 `cbor:"4,keyasint"`
	// Held is the number of slots in use or available for use, by runner.
	Held map[string]int `cbor:"5,keyasint,omitempty"`
	// Demand is the number of slots that the host could use now.
	Demand int `cbor:"6,keyasint"`
	// Incarnation distinguishes a restarted borrower from the previous process.
	Incarnation string `cbor:"7,keyasint"`
	// LenderEpoch is the epoch of the lender that the report is for; a lender
	// with another epoch ignores it.
	LenderEpoch uint64 `cbor:"8,keyasint"`
}

// CreditGrant lends slots to a host. One message covers all runners of a zone.
type CreditGrant struct {
	Lender string `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
	// Grant increases with each message to one host.
	Grant uint64 `cbor:"3,keyasint"`
	// ReportSeq is the Seq of the report that this grant answers; the term of
	// the loan starts when that report was sent.
	ReportSeq uint64 `cbor:"4,keyasint"`
	// Slots is the maximum number of slots, by runner; a runner that is not
	// listed has none.
	Slots map[string]int `cbor:"5,keyasint,omitempty"`
	// Incarnation is the borrower's.
	Incarnation string `cbor:"6,keyasint"`
}

// StateRequest requests the release state in force at a peer.
type StateRequest struct {
	// Above is the version in force at the requesting host; the peer answers
	// only if its own is higher.
	Above uint64 `cbor:"1,keyasint"`
}

// StateResponse answers a StateRequest with an encoded release state.
type StateResponse struct {
	State []byte `cbor:"1,keyasint"`
}

// JobHint notifies a dispatcher that job records have changed.
type JobHint struct {
	Jobs []string `cbor:"1,keyasint"`
}

// Question asks the leader about a job or a queue, or only reports if it names
// neither.
type Question struct {
	// Number is repeated in the Answer.
	Number uint64 `cbor:"1,keyasint"`
	Job    string `cbor:"2,keyasint,omitempty"`
	Queue  string `cbor:"3,keyasint,omitempty"`
	// Shard is the shard that is asked.
	Shard int `cbor:"4,keyasint,omitempty"`
	// Report is the sender's newest; nil if it is of an earlier release.
	Report *HostReport `cbor:"5,keyasint,omitempty"`
	// Probe is sent by a leader and asks which workers the receiver reaches.
	Probe *Probe `cbor:"6,keyasint,omitempty"`
	// Room asks for memory for jobs, in bytes. A leader of an earlier release takes
	// the question for a report and does not answer it.
	Room int64 `cbor:"7,keyasint,omitempty"`
}

// Probe asks which workers a host reaches; a HostReport answers it.
type Probe struct {
	Number  uint64           `cbor:"1,keyasint"`
	Workers []netip.AddrPort `cbor:"2,keyasint"`
}

// HostReport tells a leader how well the sender keeps up.
type HostReport struct {
	// MilliCores is the processor time that the sender may use, in thousandths of
	// a core.
	MilliCores int64 `cbor:"1,keyasint,omitempty"`
	// Lag is how late the sender's timers were lately.
	Lag time.Duration `cbor:"2,keyasint,omitempty"`
	// Probe is the number of the probe that is answered; bit i of Reached is set
	// if its worker i was reached.
	Probe   uint64 `cbor:"3,keyasint,omitempty"`
	Reached uint64 `cbor:"4,keyasint,omitempty"`
}

// Answer is the leader's answer to a Question.
type Answer struct {
	Number uint64 `cbor:"1,keyasint"`
	// Known is false if the receiving host is not the leader or has no answer.
	Known bool `cbor:"2,keyasint,omitempty"`
	// State is the job's work.State; Pending is the number of pending jobs in
	// the queue.
	State   uint8 `cbor:"3,keyasint,omitempty"`
	Pending int   `cbor:"4,keyasint,omitempty"`
	// OwnerKnown is set if Organisation is the job's, empty for a job of none. A
	// leader of an earlier release sends neither.
	OwnerKnown   bool   `cbor:"5,keyasint,omitempty"`
	Organisation string `cbor:"6,keyasint,omitempty"`
	// Room is the memory granted for jobs, in bytes.
	Room int64 `cbor:"7,keyasint,omitempty"`
}

var (
	// ErrMalformed means that bytes could not be decoded as a message.
	ErrMalformed = errors.New("malformed message")
	// ErrVersion means that the message has an unsupported version.
	ErrVersion = errors.New("message version not understood")
)

// Bounds on decoded messages, so that a small frame cannot make the decoder
// allocate or recurse without limit.
const (
	maxElements = 16384
	maxNesting  = 8
)

var (
	encoding = must(cbor.EncOptions{TextMarshaler: cbor.TextMarshalerTextString}.EncMode())
	decoding = must(cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
		TextUnmarshaler:  cbor.TextUnmarshalerTextString,
	}.DecMode())
)

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// Encode encodes a body and wraps it into an envelope. Errors: ErrMalformed.
func Encode(kind Kind, body any) ([]byte, error) {
	inner, err := encoding.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("%w: cannot encode kind %d: %v", ErrMalformed, kind, err)
	}
	return encoding.Marshal(Envelope{
		Version: Version,
		Kind:    kind,
		Body:    inner,
	})
}

// Decode decodes an envelope. Errors: ErrMalformed, ErrVersion.
func Decode(frame []byte) (Envelope, error) {
	var envelope Envelope
	if err := decoding.Unmarshal(frame, &envelope); err != nil {
		return envelope, fmt.Errorf("%w: cannot decode envelope: %v", ErrMalformed, err)
	}
	if envelope.Version < OldestVersion {
		return envelope, fmt.Errorf("%w: %d, oldest supported is %d", ErrVersion, envelope.Version, OldestVersion)
	}
	return envelope, nil
}

// Open decodes the body of an envelope. Errors: ErrMalformed.
func Open[T any](envelope Envelope) (T, error) {
	var body T
	if err := decoding.Unmarshal(envelope.Body, &body); err != nil {
		return body, fmt.Errorf("%w: kind %d: %v", ErrMalformed, envelope.Kind, err)
	}
	return body, nil
}
