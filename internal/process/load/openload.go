package load

import (
	"sync"
	"time"
)

// OpenLoad is an open-loop load: calls start at a fixed rate, whether or not
// earlier ones have been answered.
type OpenLoad struct {
	// Rate is in calls per second; Length is the duration.
	Rate   float64
	Length time.Duration
	// Make builds the i-th call.
	Make func(i int) Request
	// Do makes the call.
	Do func(Request) Answer
	// Results receives the answers.
	Results *Stats
}

// loadCall is one call of an open-loop load.
type loadCall struct {
	do      func(Request) Answer
	request Request
	results *Stats
	wait    *sync.WaitGroup
}

func (c loadCall) run() {
	defer c.wait.Done()
	c.results.Add(c.do(c.request))
}

// Run makes the calls and waits for every answer.
func (o OpenLoad) Run() {
	var wait sync.WaitGroup
	began := time.Now()
	count := int(o.Rate * o.Length.Seconds())
	for i := range count {
		at := time.Duration(float64(i) / o.Rate * float64(time.Second))
		if ahead := at - time.Since(began); ahead > 0 {
			time.Sleep(ahead)
		}
		wait.Add(1)
		call := loadCall{
			do:      o.Do,
			request: o.Make(i),
			results: o.Results,
			wait:    &wait,
		}
		go call.run()
	}
	wait.Wait()
}
