// Package burn tracks how much of each service's error budget is spent, by
// service and customer, over several windows.
package burn

import (
	"cmp"
	"slices"
	"time"
)

// Key identifies one series.
type Key struct {
	Service  string `json:"service"`
	Customer string `json:"customer"`
}

// Count holds the number of requests and of those that were not good.
type Count struct {
	Total uint64 `json:"total"`
	Bad   uint64 `json:"bad"`
}

// Lengths of the rings of a series.
const (
	ringMinutes = 60
	ringHours   = 72
)

// series holds one key's counts in rings: by second for a minute, by minute for
// an hour, by hour for 3 days.
type series struct {
	minutes [ringMinutes]Count
	hours   [ringHours]Count
	// second, minute and hour are the newest entries, counted from the Unix
	// epoch; an entry is kept at its number modulo the length of the ring.
	minute, hour int64
	seconds      [ringSeconds]Count
	second       int64
}

// ringSeconds is the length of the ring of seconds.
const ringSeconds = 60

// advance clears the entries of a ring that come after from, up to and
// including to.
func advance(ring []Count, from, to int64) {
	for index := max(from+1, to-int64(len(ring))+1); index <= to; index++ {
		ring[index%int64(len(ring))] = Count{}
	}
}

// advanceTo clears the entries that have passed since the newest one.
func (s *series) advanceTo(now time.Time) {
	second := now.Unix()
	minute, hour := second/60, second/3600
	advance(s.seconds[:], s.second, second)
	advance(s.minutes[:], s.minute, minute)
	advance(s.hours[:], s.hour, hour)
	s.second, s.minute, s.hour = max(s.second, second), max(s.minute, minute), max(s.hour, hour)
}

func (s *series) add(good bool, now time.Time) {
	s.advanceTo(now)
	for _, count := range []*Count{&s.seconds[s.second%ringSeconds], &s.minutes[s.minute%ringMinutes], &s.hours[s.hour%ringHours]} {
		count.Total++
		if !good {
			count.Bad++
		}
	}
}

func (s *series) sum(window Window) Count {
	ring, newest, length := s.hours[:], s.hour, int64(window.Length/time.Hour)
	switch {
	case window.Length <= time.Minute:
		ring, newest, length = s.seconds[:], s.second, int64(window.Length/time.Second)
	case window.Length <= time.Hour:
		ring, newest, length = s.minutes[:], s.minute, int64(window.Length/time.Minute)
	}
	var sum Count
	for index := max(newest-length+1, 0); index <= newest; index++ {
		sum.Total += ring[index%int64(len(ring))].Total
		sum.Bad += ring[index%int64(len(ring))].Bad
	}
	return sum
}

// Window is a length of time over which burn is calculated.
type Window struct {
	Name   string
	Length time.Duration
}

// Windows are the windows that the report shows, shortest first.
var Windows = []Window{
	{
		Name:   "1m",
		Length: time.Minute,
	},
	{
		Name:   "5m",
		Length: 5 * time.Minute,
	},
	{
		Name:   "1h",
		Length: time.Hour,
	},
	{
		Name:   "6h",
		Length: 6 * time.Hour,
	},
	{
		Name:   "3d",
		Length: 72 * time.Hour,
	},
}

// Counter counts the requests of one host. It is not safe for concurrent use.
type Counter struct {
	series map[Key]*series
}

// NewCounter returns an empty counter.
func NewCounter() *Counter {
	return &Counter{
		series: map[Key]*series{},
	}
}

// Add counts one request.
func (c *Counter) Add(key Key, good bool, now time.Time) {
	counts := c.series[key]
	if counts == nil {
		counts = &series{}
		c.series[key] = counts
	}
	counts.add(good, now)
}

// Sample holds the counts of one key, in the order of Windows.
type Sample struct {
	Key    Key     `json:"key"`
	Counts []Count `json:"counts"`
	// Minutes are the last hour's counts, oldest first.
	Minutes []Count `json:"minutes"`
}

// Samples returns the counts of every series, sorted by key.
func (c *Counter) Samples(now time.Time) []Sample {
	var samples []Sample
	for key, counts := range c.series {
		counts.advanceTo(now)
		sample := Sample{
			Key: key,
		}
		for _, window := range Windows {
			sample.Counts = append(sample.Counts, counts.sum(window))
		}
		for index := max(counts.minute-ringMinutes+1, 0); index <= counts.minute; index++ {
			sample.Minutes = append(sample.Minutes, counts.minutes[index%ringMinutes])
		}
		samples = append(samples, sample)
	}
	slices.SortFunc(samples, compareSamples)
	return samples
}

func compareSamples(a, b Sample) int {
	return cmp.Or(cmp.Compare(a.Key.Service, b.Key.Service), cmp.Compare(a.Key.Customer, b.Key.Customer))
}
