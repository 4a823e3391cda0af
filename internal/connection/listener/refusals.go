package listener

import (
	"expvar"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// refusalLogInterval is the least time between two log lines of one reason.
const refusalLogInterval = time.Second

// Refusals counts refused requests and connections by reason. It logs each reason
// at most once in refusalLogInterval, so that a crowd does not fill the log. It is
// safe for concurrent use.
type Refusals struct {
	counts *expvar.Map
	clock  func() time.Time

	mu sync.Mutex
	// logs is keyed by reason.
	logs map[string]*refusalLog
}

// refusalLog is what has been logged of one reason.
type refusalLog struct {
	at time.Time
	// since counts the refusals since the last line.
	since int
}

// NewRefusals returns Refusals that count in a map.
func NewRefusals(counts *expvar.Map, clock func() time.Time) *Refusals {
	return &Refusals{
		counts: counts,
		clock:  clock,
		logs:   map[string]*refusalLog{},
	}
}

// Add counts a refusal. The details are logged with it, as keys and values.
func (r *Refusals) Add(reason string, details ...any) {
	r.counts.Add("refused_"+reason, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	log := r.logs[reason]
	if log == nil {
		log = &refusalLog{}
		r.logs[reason] = log
	}
	log.since++
	now := r.clock()
	if !log.at.IsZero() && now.Sub(log.at) < refusalLogInterval {
		return
	}
	klog.InfoS("request refused", append([]any{"reason", reason, "count", log.since}, details...)...)
	log.at, log.since = now, 0
}
