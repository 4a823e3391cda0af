package intake

import (
	"context"
	"errors"
	"strconv"

	"mustardreach.example/mustardreach/internal/process/leader"
	"mustardreach.example/mustardreach/internal/process/store"
	"mustardreach.example/mustardreach/internal/request/work"
)

// home is the shard that a job belongs to, as read from the store.
type home struct {
	shard int
	keys  leader.Keys
	// moved is the revision of the key that names the shard; zero without that
	// key, when the shard is the one that the layout names.
	moved int64
}

// homeOf returns the home of a job with the given shard.
func (i *Intake) homeOf(number int) home {
	return home{
		shard: number,
		keys:  leader.KeysOf(number, i.config.Layout.Shards),
	}
}

// submission returns the commit that accepts a job. A job is in at most one
// shard: its key in the shard of the layout and the key that says where it has
// moved are both required to be absent. A job whose data is on a rack goes to
// the shard of that rack. A cancellation that does not apply to the job is replaced;
// any other one must be absent.
func (i *Intake) submission(job *work.Job, value []byte, barred store.Item) store.Commit {
	usual := i.homeOf(i.config.Layout.OfJob(job.ID))
	chosen := i.homeOf(i.shardFor(job))
	commit := store.Commit{
		If: append(i.absence(usual, job.ID), store.Condition{
			Key:      usual.keys.Cancel(job.ID),
			Revision: barred.Revision,
		}),
		Set: []store.Write{
			{
				Key:   chosen.keys.Job(job.ID),
				Value: value,
			},
		},
	}
	if barred.Revision != 0 {
		commit.Delete = []string{barred.Key}
	}
	if chosen.shard != usual.shard {
		commit.Set = append(commit.Set, store.Write{
			Key:   leader.MovedKey(job.ID),
			Value: []byte(strconv.Itoa(chosen.shard)),
		})
	}
	return commit
}

// shardFor returns the shard that a new job goes to.
func (i *Intake) shardFor(job *work.Job) int {
	if rack := rackOf(job); rack != "" {
		return i.config.Layout.OfRack(rack)
	}
	return i.config.Layout.OfJob(job.ID)
}

// rackOf returns the rack that holds data of the job; empty if none is named.
func rackOf(job *work.Job) string {
	for _, step := range job.Steps {
		if step.Rack != "" {
			return step.Rack
		}
	}
	return ""
}

// locate reads which shard a job belongs to. The job may not exist.
func (i *Intake) locate(ctx context.Context, id string) (home, error) {
	usual := i.homeOf(i.config.Layout.OfJob(id))
	if i.config.Layout.Shards <= 1 {
		return usual, nil
	}
	item, err := i.config.Store.Get(ctx, leader.MovedKey(id))
	if errors.Is(err, store.ErrAbsent) {
		return usual, nil
	}
	if err != nil {
		return home{}, err
	}
	number, err := strconv.Atoi(string(item.Value))
	if err != nil || number < 0 || number >= i.config.Layout.Shards {
		return home{}, errors.New("key " + item.Key + " does not name a shard")
	}
	found := i.homeOf(number)
	found.moved = item.Revision
	return found, nil
}

// maxMoves is how often a job may move while it is looked for.
const maxMoves = 4

// find returns a job's record and where it is. A job that moves between the
// reads is looked for again. Errors: store.ErrAbsent if there is no such job.
func (i *Intake) find(ctx context.Context, id string) (store.Item, home, error) {
	at, err := i.locate(ctx, id)
	if err != nil {
		return store.Item{}, at, err
	}
	for range maxMoves {
		item, err := i.config.Store.Get(ctx, at.keys.Job(id))
		if !errors.Is(err, store.ErrAbsent) || i.config.Layout.Shards <= 1 {
			return item, at, err
		}
		again, err := i.locate(ctx, id)
		if err != nil {
			return store.Item{}, at, err
		}
		if again.moved == at.moved {
			return store.Item{}, at, store.ErrAbsent
		}
		at = again
	}
	return store.Item{}, at, store.ErrUnavailable
}
