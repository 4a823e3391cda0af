package host

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"mustardreach.example/mustardreach/internal/process/platform"
)

// pollResult is the result of one poll of the store.
type pollResult struct {
	sentAt, receivedAt time.Time
	err                error
	// version is the version of the current release in the store; 0 if there is
	// none.
	version uint64
	// current is the whole release; it is read only if version differs from the
	// version in force here.
	current platform.RangeResponse
	rights  platform.RangeResponse
	list    platform.RangeResponse
	// whole means that list holds every entry of the discovery list, not only
	// the changed ones.
	whole bool
	// revision is the revision of the store that was read.
	revision int64
}

// poller polls the store. One call reads the version of the current release,
// the rights of the zone and the changes of the discovery list; a second call
// follows only when the version differs from the one in force here.
type poller struct {
	zone     string
	interval time.Duration
	txn      func(ctx context.Context, kind string, txn platform.TxnRequest) (platform.TxnResponse, error)
	clock    func() time.Time
	results  chan<- pollResult
	// since receives the revision from which the next poll reads changes of the
	// discovery list; 0 for the whole list.
	since chan int64
	// wake starts a poll ahead of the interval.
	wake chan struct{}
	// inForceVersion returns the version in force on this host; 0 for none.
	inForceVersion func() uint64
}

func (p *poller) run(ctx context.Context) {
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	since := int64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-p.wake:
		}
		select {
		case since = <-p.since:
		default:
		}
		result := p.read(ctx, since)
		select {
		case p.results <- result:
		case <-ctx.Done():
			return
		}
	}
}

func (p *poller) read(ctx context.Context, since int64) pollResult {
	result := pollResult{
		sentAt: p.clock(),
		whole:  since == 0,
	}
	response, err := p.txn(ctx, "poll", platform.TxnRequest{
		Success: []platform.Op{
			platform.Get(versionKey),
			platform.GetPrefix(rightsPrefix+p.zone+"/", 0),
			platform.GetPrefix(listPrefix, since),
		},
	})
	result.receivedAt = p.clock()
	const parts = 3
	switch {
	case err != nil:
		result.err = err
	case len(response.Responses) != parts || response.Header == nil:
		result.err = fmt.Errorf("%w: the response to a poll has %d of %d parts, or no header", platform.ErrUnknown, len(response.Responses), parts)
	default:
		result.version, result.err = versionOf(rangeOf(response, 0))
		result.rights = rangeOf(response, 1)
		result.list = rangeOf(response, 2)
		result.revision = int64(response.Header.Revision)
	}
	if result.err == nil && result.version != p.inForceVersion() {
		p.readCurrent(ctx, &result)
	}
	return result
}

// readCurrent reads the whole release and its version in one call, so that they
// match.
func (p *poller) readCurrent(ctx context.Context, result *pollResult) {
	response, err := p.txn(ctx, "release_read", platform.TxnRequest{
		Success: []platform.Op{platform.Get(versionKey), platform.Get(currentKey)},
	})
	if err != nil {
		result.err = err
		return
	}
	result.version, result.err = versionOf(rangeOf(response, 0))
	result.current = rangeOf(response, 1)
}

// versionOf parses the release version in a response; 0 if the key is absent.
func versionOf(response platform.RangeResponse) (uint64, error) {
	if len(response.Kvs) == 0 {
		return 0, nil
	}
	version, err := strconv.ParseUint(string(response.Kvs[0].Value), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: key %s holds no release version but %q", platform.ErrRefused, versionKey, response.Kvs[0].Value)
	}
	return version, nil
}

// rangeOf returns the range response at an index, empty if there is none.
func rangeOf(response platform.TxnResponse, at int) platform.RangeResponse {
	if at >= len(response.Responses) || response.Responses[at].Range == nil {
		return platform.RangeResponse{}
	}
	return *response.Responses[at].Range
}
