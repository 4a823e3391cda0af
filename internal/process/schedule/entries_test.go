package schedule

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/work"
)

// process is a worker's process on a machine; the next one has another id.
type process struct {
	listing Listing
	// cut is set while nobody reaches it. It runs on until its lease ends.
	cut     bool
	lease   time.Time
	running map[work.TaskKey]int64
	ended   []EndedTask
	number  int64
}

func (p *process) end(key work.TaskKey, ending Ending) {
	p.number++
	p.ended = append(p.ended, EndedTask{
		Number: p.number,
		Key:    key,
		Run:    p.running[key],
		Ending: ending,
	})
	delete(p.running, key)
}

// entries plays a board beside processes that are cut off and replaced, and a list
// into which others write too.
type entries struct {
	t        *rapid.T
	board    *Board
	now      time.Time
	machines []*process
	listings map[string]Listing
	started  int
	done     map[work.TaskKey]bool
}

const entryStep = 250 * time.Millisecond

func newEntries(t *rapid.T) *entries {
	e := &entries{
		t:        t,
		board:    NewBoard(testConfig()),
		now:      testStart,
		listings: map[string]Listing{},
		done:     map[work.TaskKey]bool{},
	}
	e.board.SetCatalog(testCatalog())
	e.board.Begin(testToken, testStart)
	for machine := range 4 {
		e.machines = append(e.machines, e.newProcess(machine))
	}
	e.board.AddJob(testJob("a", "plans", tasks(6, 3000)), nil, false, testStart, testStart)
	return e
}

func (e *entries) newProcess(machine int) *process {
	e.started++
	listing := Listing{
		ID:      fmt.Sprintf("i-%d", e.started),
		Address: testAddress(machine),
		Zone:    "recife",
		Service: "workshop",
		Capacity: worker.Size{
			MilliCores:  8000,
			MemoryBytes: 1 << 30,
		},
		Born: e.now,
	}
	e.listings[listing.ID] = listing
	return &process{
		listing: listing,
		running: map[work.TaskKey]int64{},
	}
}

// event is one change of the processes or of the list.
func (e *entries) event() {
	machine := rapid.IntRange(0, len(e.machines)-1).Draw(e.t, "machine")
	p := e.machines[machine]
	switch rapid.SampledFrom([]string{"nothing", "cut", "heal", "replace", "unlist", "list", "copy", "copy younger", "drain", "done"}).Draw(e.t, "event") {
	case "cut":
		p.cut = true
	case "heal":
		p.cut = false
	case "replace":
		if rapid.Bool().Draw(e.t, "entry stays") {
			delete(e.listings, p.listing.ID)
		}
		e.machines[machine] = e.newProcess(machine)
	case "unlist":
		delete(e.listings, p.listing.ID)
	case "list":
		e.listings[p.listing.ID] = p.listing
	case "copy", "copy younger":
		e.copyEntry(p)
	case "drain":
		listing := p.listing
		listing.Draining = true
		e.listings[listing.ID] = listing
	case "done":
		for _, key := range slices.SortedFunc(maps.Keys(p.running), compareKeys) {
			p.end(key, EndedDone)
			e.done[key] = true
			return
		}
	}
}

// copyEntry adds an entry of somebody else with the address of a process.
func (e *entries) copyEntry(p *process) {
	copied := p.listing
	copied.ID = fmt.Sprintf("x-%d", rapid.IntRange(0, 2).Draw(e.t, "writer"))
	copied.Born = p.listing.Born.Add(time.Duration(rapid.IntRange(-2, 40).Draw(e.t, "age")) * entryStep)
	copied.Draining = rapid.Bool().Draw(e.t, "draining")
	e.listings[copied.ID] = copied
}

// processOf returns the process with an id, nil if it has ended or never was one.
func (e *entries) processOf(id string) *process {
	for _, p := range e.machines {
		if p.listing.ID == id {
			return p
		}
	}
	return nil
}

func (e *entries) step() {
	e.now = e.now.Add(entryStep)
	for _, p := range e.machines {
		for _, key := range slices.SortedFunc(maps.Keys(p.running), compareKeys) {
			if e.now.After(p.lease) {
				p.end(key, EndedLapsed)
			}
		}
	}
	e.board.SetWorkers(maps.Clone(e.listings), rapid.Bool().Draw(e.t, "reliable"), e.now)
	for _, listing := range e.board.Roster() {
		e.poll(listing.ID)
	}
	e.board.Expire(e.now)
	e.board.Confirmed(e.now)
	effects := e.board.Decide(e.now, true)
	for _, stop := range effects.Stops {
		e.board.StopReplied(stop, e.stop(stop), e.now)
	}
	for _, start := range effects.Starts {
		e.board.LeaseExtended(start.Worker, e.now)
		e.board.StartReplied(start, e.start(start), e.now)
	}
}

func (e *entries) poll(id string) {
	p := e.processOf(id)
	if p == nil || p.cut {
		e.board.MarkUnreachable(id, e.now)
		return
	}
	if w := e.board.workers[id]; w.reachable {
		e.board.LeaseExtended(id, e.now)
		p.lease = e.now.Add(testLeaseTerm)
	}
	inventory := Inventory{
		Born:     p.listing.Born,
		Ended:    slices.Clone(p.ended),
		Sent:     e.now,
		Received: e.now,
	}
	for _, key := range slices.SortedFunc(maps.Keys(p.running), compareKeys) {
		inventory.Running = append(inventory.Running, RunningTask{
			Key: key,
			Run: p.running[key],
		})
	}
	e.board.ApplyReport(id, inventory, e.now)
}

func (e *entries) start(start Start) Verdict {
	for _, p := range e.machines {
		run, running := p.running[start.Key]
		require.False(e.t, running, "%s starts on %s while run %d of it goes on at %s", start.Key, start.Worker, run, p.listing.ID)
	}
	p := e.processOf(start.Worker)
	if p == nil || p.cut {
		return Unknown
	}
	require.False(e.t, e.done[start.Key] && e.heardOf(start.Key), "%s is done", start.Key)
	p.running[start.Key], p.lease = start.Run, e.now.Add(testLeaseTerm)
	return Accepted
}

// heardOf reports whether the board has been told that the task is done.
func (e *entries) heardOf(key work.TaskKey) bool {
	_, _, t := e.board.jobs[key.Job].find(key)
	return t.phase == done
}

func (e *entries) stop(stop Stop) Verdict {
	p := e.processOf(stop.Worker)
	switch {
	case p == nil || p.cut:
		return Unknown
	case p.running[stop.Key] == stop.Run:
		p.end(stop.Key, EndedStopped)
	}
	return Accepted
}

// Guards against a claim that ends by what an entry of the list suggests: tasks started
// a second time beside an entry with the address of their worker (review case 6). A
// claim ends by the word of its worker, by its lease, or by the answer of the
// worker's successor. Random sequences of cuts, replacements and entries of others.
func TestEntriesEndNoClaims(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := newEntries(t)
		for range 60 {
			e.event()
			e.step()
		}
	})
}
