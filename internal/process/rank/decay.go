package rank

import (
	"math"
	"time"
)

// memory is the time constant with which earlier arrivals and starts lose their
// weight. It is well above the run time of a task, so that one large job does not
// change a share at once, and below the length of a burst.
const memory = 20 * time.Second

// decayed is a sum whose parts lose weight with time.
type decayed struct {
	sum float64
	at  time.Time
}

// add adds an amount at a time. A time before the newest one counts as that.
func (d *decayed) add(amount float64, now time.Time) {
	if elapsed := now.Sub(d.at); elapsed > 0 {
		d.sum *= math.Exp(-float64(elapsed) / float64(memory))
		d.at = now
	}
	d.sum += amount
}
