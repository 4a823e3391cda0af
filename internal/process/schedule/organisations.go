package schedule

import (
	"cmp"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/quota"
)

// Organisation is what this leader knows of an organisation's use.
type Organisation struct {
	Name string `cbor:"1,keyasint"`
	// Limit is the configured limit of all shards together, in which zero means
	// none, and Weight the configured weight.
	Limit  worker.Size `cbor:"2,keyasint"`
	Weight float64     `cbor:"3,keyasint"`
	// Listed is set if the configuration in force has the organisation. Known is
	// set if its limit is known; otherwise nothing of it is started.
	Listed bool `cbor:"4,keyasint,omitempty"`
	Known  bool `cbor:"5,keyasint,omitempty"`
	// Use is what it has running in this shard, including runs that are being
	// started or stopped. Possible is what it may have running beyond that on
	// workers that have not reported to this leader.
	Use      worker.Size `cbor:"6,keyasint"`
	Possible worker.Size `cbor:"7,keyasint"`
	// Share is the largest part of the capacity of one resource that it uses.
	Share float64 `cbor:"8,keyasint"`
	// Waiting counts the waiting tasks of steps that are ready, Held those of them
	// that the limit does not admit.
	Waiting int `cbor:"9,keyasint"`
	Held    int `cbor:"10,keyasint"`
}

// Organisations returns the use of all known organisations, by name.
func (b *Board) Organisations(now time.Time) []Organisation {
	if b.quotas.Empty() {
		return nil
	}
	accounts := b.quotas.Accounts()
	out := make([]Organisation, 0, len(accounts))
	numbers := make(map[*quota.Account]int, len(accounts))
	for _, account := range accounts {
		numbers[account] = len(out)
		running, possible := account.Use()
		out = append(out, Organisation{
			Name:     account.Name,
			Limit:    account.Limit,
			Weight:   account.Weight,
			Listed:   account.Listed,
			Known:    account.Known(),
			Use:      running,
			Possible: possible,
			Share:    b.quotas.DominantShare(account),
		})
	}
	for _, j := range b.open {
		if j.account == nil || j.left == j.claims {
			continue
		}
		waits, held := j.waitingTasks(now)
		entry := &out[numbers[j.account]]
		entry.Waiting += waits
		entry.Held += held
	}
	slices.SortFunc(out, func(a, c Organisation) int { return cmp.Compare(a.Name, c.Name) })
	return out
}

// waitingTasks counts the waiting tasks of steps that are ready, and those of
// them that the limit of the job's organisation does not admit.
func (j *job) waitingTasks(now time.Time) (waits, held int) {
	for _, occ := range j.occurrences {
		for _, step := range occ.steps {
			if step.waiting == 0 || !occ.ready(step, now) {
				continue
			}
			waits += step.waiting
			atOnce := 1
			if step.spec.Gang {
				atOnce = len(step.tasks)
			}
			if j.account.MayStart(step.spec.Size) < atOnce {
				held += step.waiting
			}
		}
	}
	return waits, held
}
