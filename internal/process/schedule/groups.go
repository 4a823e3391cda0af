package schedule

import (
	"maps"
	"math"
	"slices"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/locality"
)

// groupWaits reports whether the step, which is placed as a unit, waits.
func (p *preference) groupWaits() bool {
	return p != nil && p.holdsBack
}

// placeGroup chooses the rack for a step whose tasks start as a unit: a gang, or
// a step that asks for one rack and of which nothing runs yet. Tasks that are
// added later join the others.
func (p *preference) placeGroup(pool []*workerState) {
	b, step := p.board, p.step
	if step.spec.Gang && step.spec.Filler {
		return // interference changes with each member: there is no forecast
	}
	if home := b.homeOf(step); home != "" {
		step.home = home
		return
	}
	step.home = ""
	if step.waiting < step.left {
		return // runs where the rack is not known
	}
	racks := p.groupRacks()
	rack := p.fittingRack(racks)
	if step.wait != nil {
		step.wait.near = rack != ""
	}
	if rack != "" {
		if step.spec.OneRack {
			step.home = rack
		}
		return
	}
	if p.factor <= 1 || b.room(step, pool) < step.waiting {
		return // nowhere to start now: nothing is declined
	}
	p.holdsBack = p.groupHoldsBack(racks)
}

// homeOf is the rack on which most tasks of a step run that asks for one rack,
// empty if none runs.
func (b *Board) homeOf(step *stepState) string {
	if !step.spec.OneRack || step.waiting == step.left {
		return ""
	}
	counts := map[string]int{}
	for _, t := range step.tasks {
		if w := b.workers[t.worker]; t.phase == claimed && w != nil && w.Rack != "" {
			counts[w.Rack]++
		}
	}
	best := ""
	for _, rack := range slices.Sorted(maps.Keys(counts)) {
		if best == "" || counts[rack] > counts[best] {
			best = rack
		}
	}
	return best
}

// groupRacks lists the racks that the group may be placed on, that of its data
// first.
func (p *preference) groupRacks() []string {
	spec := p.step.spec
	var out []string
	if spec.Rack != "" {
		out = append(out, spec.Rack)
	}
	if !spec.OneRack {
		return out
	}
	for _, rack := range slices.Sorted(maps.Keys(p.racks)) {
		if rack != spec.Rack && p.racks[rack][0].Rack == rack {
			out = append(out, rack)
		}
	}
	return out
}

// fittingRack returns a rack on which the group fits now: that of its data, else
// the one that it fills best.
func (p *preference) fittingRack(racks []string) string {
	best, bestRoom := "", math.MaxInt
	for _, rack := range racks {
		room := p.board.room(p.step, p.suitable(rack))
		if room < p.step.waiting {
			continue
		}
		if rack == p.step.spec.Rack {
			return rack
		}
		if room < bestRoom {
			best, bestRoom = rack, room
		}
	}
	return best
}

// suitable returns the workers of a rack that the group may be placed on.
func (p *preference) suitable(rack string) []*workerState {
	var out []*workerState
	for _, w := range p.racks[rack] {
		if p.board.mayPlace(w, p.step, p.step.tasks[0]) {
			out = append(out, w)
		}
	}
	return out
}

// room counts the waiting tasks of the step that fit on the workers now.
func (b *Board) room(step *stepState, workers []*workerState) int {
	total := 0
	for _, w := range workers {
		spec := step.spec
		if !b.eligible(w, step, step.tasks[0]) {
			continue
		}
		count := fitting(reservedSize(spec), w.free())
		if spec.Filler {
			count = min(count, fitting(spec.Size, worker.Size{
				MilliCores:   w.idle,
				MemoryBytes:  w.free().MemoryBytes,
				Accelerators: w.free().Accelerators,
			}))
		}
		if spec.Spread > 0 {
			count = min(count, spec.Spread-w.steps[stepOf(step.tasks[0].key)])
		}
		total += min(count, step.waiting)
	}
	return total
}

// fitting is how many tasks of a size fit into a capacity.
func fitting(size, capacity worker.Size) int {
	count := int64(math.MaxInt32)
	for _, part := range [][2]int64{
		{size.MilliCores, capacity.MilliCores},
		{size.MemoryBytes, capacity.MemoryBytes},
		{size.Accelerators, capacity.Accelerators},
	} {
		if part[0] > 0 {
			count = min(count, max(0, part[1])/part[0])
		}
	}
	return int(count)
}

// groupHoldsBack decides whether the group waits for the rack that is expected
// to hold it first.
func (p *preference) groupHoldsBack(racks []string) bool {
	b, step := p.board, p.step
	if len(racks) > 1 {
		switch {
		case step.wait != nil:
			racks = []string{step.wait.rack} // others are used once the group fits there
		case b.placement.searchesLeft == 0:
			return false
		default:
			b.placement.searchesLeft--
		}
	}
	size := reservedSize(step.spec)
	if step.spec.Filler {
		size = step.spec.Size
	}
	saved := step.tasks[0].saved
	run := p.rest(saved)
	allowed := func(id string) bool { return b.mayPlace(b.workers[id], step, step.tasks[0]) }
	best, near := "", locality.Never
	for _, rack := range racks {
		after := p.forecast(rack).EarliestGroup(size, step.waiting, step.spec.Spread, run, allowed, false)
		if after < near {
			best, near = rack, after
		}
	}
	lasted := b.lasted(step.wait, p, step.tasks[0])
	if near <= 0 || !p.worthwhile(near, lasted, saved) {
		if step.wait == nil && near > 0 && near < locality.Never {
			b.placement.learned(p.job.work.Queue).Declined()
		}
		return false
	}
	step.wait = b.continueWait(step.wait, best, lasted, near, p.now)
	p.forecast(best).EarliestGroup(size, step.waiting, step.spec.Spread, run, allowed, true)
	return true
}
