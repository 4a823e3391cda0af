package host

import (
	"time"

	"mustardreach.example/mustardreach/internal/request/burn"
)

// sloCounter counts requests for the service-level report in a loop of its own.
// Only that loop touches counter.
type sloCounter struct {
	counter *burn.Counter
	samples chan sloSample
	calls   chan func()
}

type sloSample struct {
	key      burn.Key
	good     bool
	duration time.Duration
}

// sloQueueSize bounds the queued samples. Further samples are dropped.
const sloQueueSize = 8192

func newSLOCounter() *sloCounter {
	return &sloCounter{
		counter: burn.NewCounter(),
		samples: make(chan sloSample, sloQueueSize),
		calls:   make(chan func(), 1),
	}
}

// add records one request. It never blocks.
func (s *sloCounter) add(service, customer string, good bool, duration time.Duration) {
	select {
	case s.samples <- sloSample{
		key: burn.Key{
			Service:  service,
			Customer: customer,
		},
		good:     good,
		duration: duration,
	}:
	default:
	}
}

func (s *sloCounter) run() {
	for {
		select {
		case sample := <-s.samples:
			s.counter.Add(sample.key, sample.good, time.Now())
		case call := <-s.calls:
			call()
		}
	}
}

// totals returns the counts of all services and customers.
func (s *sloCounter) totals() []burn.Sample {
	result := make(chan []burn.Sample, 1)
	s.calls <- func() { result <- s.counter.Samples(time.Now()) }
	return <-result
}
