package work

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// Bar is the cancellation of a job that was not in the store. As long as it is there,
// no submission of the job by those who have cancelled it takes effect. A cancellation
// of a job in the store has no value, and applies to everyone.
type Bar struct {
	// Everyone is set if callers have no keys, or if the job was in the store.
	Everyone bool `cbor:"1,keyasint,omitempty"`
	// Organisations are those of the callers, empty for a caller without a key.
	Organisations []string `cbor:"2,keyasint,omitempty"`
}

// Covers reports whether the bar applies to a job of an organisation. A job of none may be
// cancelled by everyone.
func (b *Bar) Covers(organisation string) bool {
	return b.Everyone || organisation == "" || slices.Contains(b.Organisations, organisation)
}

// Add makes the bar apply to an organisation's jobs too.
func (b *Bar) Add(organisation string) {
	if !slices.Contains(b.Organisations, organisation) {
		b.Organisations = append(b.Organisations, organisation)
	}
}

// EncodeBar encodes a bar.
func EncodeBar(bar *Bar) ([]byte, error) {
	return cbor.Marshal(bar)
}

// DecodeBar decodes the value of a cancellation. Errors: ErrInvalid.
func DecodeBar(value []byte) (*Bar, error) {
	bar := &Bar{}
	if len(value) == 0 {
		bar.Everyone = true
		return bar, nil
	}
	if err := cbor.Unmarshal(value, bar); err != nil {
		return nil, fmt.Errorf("%w: cancellation of %d bytes: %v", ErrInvalid, len(value), err)
	}
	return bar, nil
}
