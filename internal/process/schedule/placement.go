package schedule

import (
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/process/locality"
	"mustardreach.example/mustardreach/internal/request/work"
)

// placement is the state of the decisions on preferred racks.
type placement struct {
	// experience is what was learned, by queue.
	experience map[string]*locality.Experience
	counts     WaitCounts
	// ended holds the newest ended waits, for the log.
	ended []EndedWait
	// worthwhile decides for how long a task waits.
	worthwhile func(locality.Wait) time.Duration

	// The rest is valid for one decision. racks indexes the workers of a pool by
	// rack, forecasts holds the expected free capacity of racks, and awaitedRacks
	// those for which tasks wait. searchesLeft is how many more forecasts of all
	// racks may be searched.
	racks        map[poolKey]map[string][]*workerState
	forecasts    map[forecastKey]*locality.Forecast
	awaitedRacks map[string]bool
	searchesLeft int
	// previous and newest are the times of the last two decisions.
	previous, newest time.Time
}

// groupSearches limits the groups for which one decision compares the forecasts
// of all racks; others do not wait. A search goes through all workers once for
// each task of the group.
const groupSearches = 4

func newPlacement() *placement {
	return &placement{
		experience: map[string]*locality.Experience{},
		worthwhile: locality.Wait.Worthwhile,
	}
}

// begin discards what is valid for one decision.
func (p *placement) begin(now time.Time) {
	p.racks, p.forecasts, p.awaitedRacks, p.searchesLeft = nil, nil, nil, groupSearches
	p.previous, p.newest = p.newest, now
	p.counts.Waiting = 0
}

func (p *placement) restore(learned map[string]*locality.Experience) {
	for queue, known := range learned {
		if known != nil {
			copied := *known
			p.experience[queue] = &copied
		}
	}
}

// awaited reports whether other tasks wait for the worker's rack. Workers without
// a known rack are on none.
func (p *placement) awaited(w *workerState, preferred string) bool {
	return p.awaitedRacks != nil && w.Rack != preferred && p.awaitedRacks[w.Rack]
}

// await marks a rack for which a task or a group waits.
func (p *placement) await(rack string) {
	if p.awaitedRacks == nil {
		p.awaitedRacks = map[string]bool{}
	}
	p.awaitedRacks[rack] = true
	p.counts.Waiting++
}

// learned returns the experience of a queue, which is created if there is none.
func (p *placement) learned(queue string) *locality.Experience {
	known := p.experience[queue]
	if known == nil {
		known = &locality.Experience{}
		p.experience[queue] = known
	}
	return known
}

func (w *workerState) onRack(rack string) bool {
	return w.Rack == rack || slices.Contains(w.Labels, rack)
}

// preferredRack is the rack that the step's tasks are placed on if possible:
// that of the other tasks for a step that asks for one rack, else that of its
// data. It is empty if there is none.
func (s *stepState) preferredRack() string {
	if s.home != "" {
		return s.home
	}
	return s.spec.Rack
}

// remoteFactor is the ratio of run times off the preferred rack to those on it,
// zero if it is not known.
func (b *Board) remoteFactor(queue string) float64 {
	return b.placement.experience[queue].Factor(b.config.RemoteFactor)
}

// ranNear reports whether a run was on the rack that its step prefers. known is
// false if the step prefers none, or if the run times do not show it: tasks of a
// step that asks for one rack also depend on where the others run, unless they
// form a gang.
func (b *Board) ranNear(w *workerState, step *stepState) (near, known bool) {
	switch {
	case !step.spec.OneRack:
		return w.onRack(step.spec.Rack), step.spec.Rack != ""
	case !step.spec.Gang || step.spec.Rack != "" || w.Rack == "":
		return false, false
	}
	for _, t := range step.tasks {
		if other := b.workers[t.worker]; t.phase == claimed && (other == nil || other.Rack != w.Rack) {
			return false, true
		}
	}
	return true, true
}

// learnRun updates the estimates with a completed run. The estimate of the run
// time is that on the preferred rack.
func (b *Board) learnRun(j *job, w *workerState, key work.TaskKey, held *claim, now time.Time) {
	estimated, actual := j.work.Steps[key.Step].Estimate, now.Sub(held.started)
	if _, step, t := j.find(key); t != nil {
		near, known := b.ranNear(w, step)
		if factor := b.remoteFactor(j.work.Queue); known && !near && factor > 1 {
			b.estimates.learn(j.work.Queue, estimated, time.Duration(float64(actual)/factor))
		} else {
			b.estimates.learn(j.work.Queue, estimated, actual)
		}
		if known && held.saved == 0 {
			b.placement.learned(j.work.Queue).Ran(near, estimated, actual)
		}
		return
	}
	b.estimates.learn(j.work.Queue, estimated, actual)
}
