package schedule

import (
	"time"

	"mustardreach.example/mustardreach/internal/process/reserve"
)

// packing is how long-running tasks are placed on a service's workers.
type packing struct {
	demand reserve.Demand
	// piece is the size of the pieces to keep, in millicores; zero if none need
	// to be kept.
	piece int64
	// computedAt is when piece was computed.
	computedAt time.Time
}

// PackingChange says that placements of long-running tasks begin or cease to leave
// pieces for quick tasks.
type PackingChange struct {
	Service string
	// MilliCores is the size of a piece; zero if none is kept from now on.
	MilliCores int64
	// Needed and Available are numbers of pieces.
	Needed, Available int
}

// sparePieces times the demand is the number of free pieces from which placements
// need not keep any. Placements are hardly ever changed, so pieces must be kept
// long before they are short; with 4 the replay needs more preemptions.
const sparePieces = 16

// weightPieces weighs a lost piece of capacity against affinity and free capacity,
// which together count for less.
const weightPieces = 5.0

// observeArrival learns the demand of a quick job.
func (b *Board) observeArrival(j *job, now time.Time) {
	if !b.urgent(j) || j.fromEarlierTerm {
		return
	}
	service := b.serviceOf(j)
	state := b.urgentCapacity.packing[service]
	if state == nil {
		state = &packing{}
		b.urgentCapacity.packing[service] = state
	}
	for s := range j.work.Steps {
		if step := &j.work.Steps[s]; !step.Filler {
			state.demand.Arrived(step.Size.MilliCores, step.Count, b.estimates.runTime(j.work.Queue, step), now)
		}
	}
}

// packs reports whether the placement of a step may leave pieces for quick tasks.
// It gives up the spread of serving tasks and their affinity, at the cost of the
// fillers beside them, so it applies only to steps that may be preempted.
func (b *Board) packs(step *stepState) bool {
	return step.spec.LongRunning && step.spec.MaxUnavailable > 0 && b.config.Notice > 0
}

// pieceOf returns the size of the pieces that placements on a service's workers
// should leave. It is zero if there is no demand for them, or if there are enough.
func (b *Board) pieceOf(service string) int64 {
	state := b.urgentCapacity.packing[service]
	if state == nil {
		return 0
	}
	if b.now.Sub(state.computedAt) < scanInterval {
		return state.piece
	}
	state.computedAt = b.now
	piece, count := state.demand.Needed(b.now)
	available := 0
	for _, w := range b.workers {
		if count > 0 && w.Service == service && b.usable(w, b.now) {
			available += int(max(0, w.free().MilliCores) / piece)
		}
	}
	before := state.piece
	state.piece = 0
	if available < count*sparePieces {
		state.piece = piece
	}
	if (before > 0) != (state.piece > 0) {
		b.effects.PackingChanges = append(b.effects.PackingChanges, PackingChange{
			Service:    service,
			MilliCores: state.piece,
			Needed:     count,
			Available:  available,
		})
	}
	return state.piece
}
