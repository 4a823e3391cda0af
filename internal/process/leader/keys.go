package leader

import (
	"strconv"
	"strings"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/store"
	"mustardreach.example/mustardreach/internal/request/work"
)

const (
	prefixRoot = "mustardreach/"
	// prefixLeads holds the lead keys of all shards of a divided fleet.
	prefixLeads = prefixRoot + "lead/"
	// prefixLoads holds the load of each shard, which its leader publishes.
	prefixLoads = prefixRoot + "load/"
	// prefixMoved holds the shard of each job that is not in the shard that the
	// layout names for it.
	prefixMoved = prefixRoot + "moved/"
	// prefixQuota holds the parts of the organisations' limits under keyQuotaParts,
	// and the parts that each shard wants under prefixQuotaWants.
	prefixQuota      = prefixRoot + "quota/"
	keyQuotaParts    = prefixQuota + "parts"
	prefixQuotaWants = prefixQuota + "wants/"
	// prefixTransferred and prefixLocation hold, under the work prefix of a shard, the
	// tasks that were transferred to it, and where its own are that were transferred.
	prefixTransferred = "transferred/"
	prefixLocation    = "location/"
)

// Keys are the store keys of one shard.
type Keys struct {
	// Lead is held under a lease by the shard's leader.
	Lead string
	// Epoch is written by every acquisition and never deleted.
	Epoch string
	// Sequence is written by every commit of a leader, Roster before a worker
	// is used, and Learned holds the learned state of the schedule.
	Sequence, Roster, Learned string
	// Placements names the newest leader whose progress records have the
	// placements of all long-running tasks.
	Placements string
	// Unreachable is written by every acquisition, and when workers cease to answer
	// or answer again.
	Unreachable string
	// Handover is written by a leader that resigns, along with the deletion of
	// Lead.
	Handover string
	// work is the prefix of all that a leader watches: jobs, cancellations and
	// one of Lead and Epoch, so that the end of a term is seen before any job
	// that was submitted after it.
	work, state string
}

// KeysOf returns the keys of a shard. A fleet of one shard has keys without a
// number.
func KeysOf(number, shards int) Keys {
	if shards <= 1 {
		return Keys{
			Lead:        prefixRoot + "work/lead",
			Epoch:       prefixRoot + "epoch",
			Sequence:    prefixRoot + "sequence",
			Roster:      prefixRoot + "roster",
			Learned:     prefixRoot + "learned",
			Placements:  prefixRoot + "placements",
			Unreachable: prefixRoot + "unreachable",
			Handover:    prefixRoot + "handover",
			work:        prefixRoot + "work/",
			state:       prefixRoot + "state/",
		}
	}
	root := prefixRoot + "shard/" + strconv.Itoa(number) + "/"
	return Keys{
		Lead:        prefixLeads + strconv.Itoa(number),
		Epoch:       root + "work/epoch",
		Sequence:    root + "sequence",
		Roster:      root + "roster",
		Learned:     root + "learned",
		Placements:  root + "placements",
		Unreachable: root + "unreachable",
		Handover:    root + "handover",
		work:        root + "work/",
		state:       root + "state/",
	}
}

// leadsPrefix returns the prefix of the lead keys of all shards.
func leadsPrefix(shards int) string {
	if shards <= 1 {
		return KeysOf(0, shards).Lead
	}
	return prefixLeads
}

// Job returns the key of a job's record.
func (k Keys) Job(id string) string {
	return k.work + "job/" + id
}

// State returns the key of a job's progress record.
func (k Keys) State(id string) string {
	return k.state + id
}

// Cancel returns the key of a job's cancellation.
func (k Keys) Cancel(id string) string {
	return k.work + "cancel/" + id
}

// Transferred returns the key of a task that another shard has transferred to this one.
func (k Keys) Transferred(task work.TaskKey) string {
	return k.work + prefixTransferred + task.String()
}

// Location returns the key that says where a task of a job of this shard is if it was
// transferred.
func (k Keys) Location(task work.TaskKey) string {
	return k.work + prefixLocation + task.String()
}

// MovedKey returns the key that holds the shard of a job which has moved.
func MovedKey(id string) string {
	return prefixMoved + id
}

// workItem is what an item under the work prefix holds: one of its fields is set, or
// none.
type workItem struct {
	job *work.Job
	// cancelled is the job of a cancellation, and bar what it bars if the job was not in
	// the store then.
	cancelled   string
	bar         *work.Bar
	transferred *work.TransferredTask
	location    *work.Location
}

// decodeItem decodes an item under the work prefix. A record that cannot be decoded is
// logged and ignored.
func (k Keys) decodeItem(item store.Item) workItem {
	out := workItem{}
	var err error
	switch {
	case strings.HasPrefix(item.Key, k.Cancel("")):
		out.cancelled = strings.TrimPrefix(item.Key, k.Cancel(""))
		if len(item.Value) > 0 {
			out.bar, err = work.DecodeBar(item.Value)
		}
	case strings.HasPrefix(item.Key, k.Job("")):
		out.job, err = work.DecodeJob(item.Value)
	case strings.HasPrefix(item.Key, k.work+prefixTransferred):
		out.transferred, err = work.DecodeTransferred(item.Value)
	case strings.HasPrefix(item.Key, k.work+prefixLocation):
		out.location, err = work.DecodeLocation(item.Value)
	}
	if err != nil {
		klog.ErrorS(err, "work record cannot be read", "key", item.Key, "revision", item.Revision)
		return workItem{}
	}
	return out
}
