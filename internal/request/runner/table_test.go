package runner

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"mustardreach.example/mustardreach/internal/process/golden"
)

const service = "quotes"

var begin = time.Unix(1000, 0)

func entries(count int) []Entry {
	list := make([]Entry, count)
	for i := range list {
		list[i] = Entry{
			ID:      fmt.Sprintf("r%d", i),
			Zone:    []string{"near", "far"}[i%2],
			Service: service,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i)),
		}
	}
	return list
}

func newTable(count int) *Table {
	table := NewTable(Config{
		Zone:   "near",
		Random: rand.New(rand.NewPCG(1, 2)),
	})
	table.Set(entries(count), begin)
	return table
}

// simulation sends requests to runners with fixed latencies and failures.
type simulation struct {
	table   *Table
	now     time.Time
	next    uint64
	latency map[string]time.Duration
	fails   map[string]bool
	counts  map[string]int
}

func (s *simulation) request() {
	s.next++
	id, ok := s.table.Choose(Criteria{
		Service: service,
		Free:    func(string) int { return 8 },
	}, s.now)
	if !ok {
		s.counts["none"]++
		return
	}
	s.counts[id]++
	s.table.RecordSend(id, s.next, s.now)
	took := s.latency[id]
	if took == 0 {
		took = 20 * time.Millisecond
	}
	verdict := Success
	if s.fails[id] {
		took, verdict = time.Millisecond, Failure
	}
	s.table.RecordEnd(id, s.next, verdict, s.now.Add(took))
	s.now = s.now.Add(5 * time.Millisecond)
}

func (s *simulation) requests(count int) map[string]int {
	s.counts = map[string]int{}
	for range count {
		s.request()
	}
	return s.counts
}

func newSimulation(count int) *simulation {
	return &simulation{
		table:   newTable(count),
		now:     begin.Add(time.Minute),
		latency: map[string]time.Duration{},
		fails:   map[string]bool{},
	}
}

// TestChoice guards against requests going to runners in other zones, or to
// slow, failing or leaving runners, while better ones are usable, and against
// ejecting a whole service.
func TestChoice(t *testing.T) {
	tests := map[string]struct {
		arrange func(s *simulation)
		check   func(t *testing.T, s *simulation, counts map[string]int)
	}{
		"runners of this zone are preferred": {
			arrange: func(*simulation) {},
			check: func(t *testing.T, _ *simulation, counts map[string]int) {
				for id, count := range counts {
					assert.Contains(t, []string{"r0", "r2", "r4", "r6"}, id, "%d requests", count)
				}
			},
		},
		"a runner that fails fast is ejected": {
			arrange: func(s *simulation) { s.fails["r0"] = true },
			check: func(t *testing.T, s *simulation, counts map[string]int) {
				assert.Less(t, counts["r0"], 10)
				assert.Equal(t, 1, s.table.Ejected(service))
			},
		},
		"ejections are capped": {
			arrange: func(s *simulation) {
				for i := range 8 {
					s.fails[fmt.Sprintf("r%d", i)] = true
				}
			},
			check: func(t *testing.T, s *simulation, _ map[string]int) {
				assert.LessOrEqual(t, s.table.Ejected(service), 2)
			},
		},
		"a slow runner is sent few requests": {
			arrange: func(s *simulation) { s.latency["r2"] = 400 * time.Millisecond },
			check: func(t *testing.T, _ *simulation, counts map[string]int) {
				assert.Less(t, counts["r2"], 10)
			},
		},
		"a leaving runner is sent nothing although the lagging list shows it as live": {
			arrange: func(s *simulation) {
				s.table.RecordLeaving("r4", s.now)
				s.table.Set(entries(8), s.now)
			},
			check: func(t *testing.T, _ *simulation, counts map[string]int) {
				assert.Zero(t, counts["r4"])
			},
		},
		"other zones serve when all runners of this zone are leaving": {
			arrange: func(s *simulation) {
				for _, id := range []string{"r0", "r2", "r4", "r6"} {
					s.table.RecordLeaving(id, s.now)
				}
			},
			check: func(t *testing.T, _ *simulation, counts map[string]int) {
				assert.Zero(t, counts["none"])
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(8)
			test.arrange(s)
			test.check(t, s, s.requests(400))
		})
	}
}

// TestEjectedRunnerIsReadmittedAfterProbe guards against a recovered runner
// that stays ejected after its ejection time.
func TestEjectedRunnerIsReadmittedAfterProbe(t *testing.T) {
	s := newSimulation(8)
	s.fails["r0"] = true
	s.requests(100)
	s.fails["r0"] = false
	s.now = s.now.Add(maxEjection)
	s.requests(100)
	assert.Zero(t, s.table.Ejected(service))
}

// TestGoldenBrownoutAndDrain records how requests are distributed while runners
// slow down, fail, recover and leave.
func TestGoldenBrownoutAndDrain(t *testing.T) {
	s := newSimulation(8)
	session := &golden.Session{}
	phase := func(what string) {
		session.Add(s.now.Sub(begin), "-- %s", what)
		counts := s.requests(400)
		for i := range 8 {
			id := fmt.Sprintf("r%d", i)
			if counts[id] > 0 {
				session.Add(s.now.Sub(begin), "%s got %d of 400", id, counts[id])
			}
		}
		session.Add(s.now.Sub(begin), "ejected: %d", s.table.Ejected(service))
	}
	phase("quiet")
	s.latency["r0"], s.latency["r2"] = time.Second, time.Second
	phase("two near runners brown out")
	s.fails["r4"] = true
	phase("a third fails at once")
	s.latency = map[string]time.Duration{}
	s.fails = map[string]bool{}
	s.now = s.now.Add(maxEjection)
	phase("all recover")
	s.table.RecordLeaving("r6", s.now)
	phase("r6 says that it is leaving")
	session.Check(t, "brownout_and_drain")
}
