package leader

import (
	"bytes"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/quota"
	"mustardreach.example/mustardreach/internal/process/store"
)

// wantsPublisher writes the parts of limits that a shard wants, for those that
// have more than they need.
type wantsPublisher struct {
	term *term
	busy bool
	// written is what was written last, under lease.
	written []byte
	lease   int64
}

// publish writes the wanted parts under the lease of the lead key if they have
// changed, so that they disappear with the leadership. They are advisory: there
// is no condition.
func (p *wantsPublisher) publish(wants quota.Wants) {
	value, err := encodeWants(wants)
	if err != nil {
		klog.ErrorS(err, "wanted quota parts cannot be encoded")
		return
	}
	unchanged := bytes.Equal(value, p.written) && p.lease == p.term.lease
	if p.busy || unchanged || p.written == nil && len(wants) == 0 {
		return
	}
	p.busy = true
	go p.run(p.term.ctx, value, p.term.lease)
}

// wantRecord holds the part, the use and the unit of a want, three resources each. An
// earlier release writes and reads the part only.
type wantRecord []int64

const resources = len(quota.Amount{})

// encodeWants encodes the same wants in the same way, so that they can be
// compared.
func encodeWants(wants quota.Wants) ([]byte, error) {
	records := make(map[string]wantRecord, len(wants))
	for name, want := range wants {
		records[name] = slices.Concat(want.Part[:], want.Used[:], want.Unit[:])
	}
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		return nil, err
	}
	return mode.Marshal(records)
}

// decodeWants decodes the wants of a shard. One of an earlier release does not say what
// it uses: that may be all that it wants.
func decodeWants(value []byte) (quota.Wants, error) {
	var records map[string]wantRecord
	if err := cbor.Unmarshal(value, &records); err != nil {
		return nil, err
	}
	wants := make(quota.Wants, len(records))
	for name, record := range records {
		want := quota.Want{}
		copy(want.Part[:], record)
		if want.Used = want.Part; len(record) >= 3*resources {
			copy(want.Used[:], record[resources:])
			copy(want.Unit[:], record[2*resources:])
		}
		wants[name] = want
	}
	return wants, nil
}

func (p *wantsPublisher) run(ctx context.Context, value []byte, lease int64) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	config := &p.term.leader.config
	_, err := config.Store.Commit(limited, store.Commit{
		Set: []store.Write{
			{
				Key:   prefixQuotaWants + strconv.Itoa(config.Shard),
				Value: value,
				Lease: lease,
			},
		},
	})
	if err != nil {
		klog.V(1).InfoS("wanted quota parts not published", "err", err)
	}
	p.term.post(func(time.Time) {
		p.busy = false
		if err == nil {
			p.written, p.lease = value, lease
		}
	})
}
