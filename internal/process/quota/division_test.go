package quota

import (
	"math"
	"slices"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/version/catalog"
)

// division simulates the leaders of several shards, the record of the parts and
// its readers. Reads may be stale, commits may get no answer, leaders are
// replaced while the former one still starts tasks, and limits change and reach
// the shards one after the other.
type division struct {
	t      *rapid.T
	record []Parts // by revision
	limits []worker.Size
	shards []*dividedShard
}

type dividedShard struct {
	book *Book
	// version is the configuration version in force, revision that of the record
	// in force. verified is cleared when a commit got no answer.
	version, revision int
	verified          bool
	// former is the book of a former leader, which may start inherited tasks until
	// the workers have reported to its successor. reported is set once they have.
	former        *Book
	formerVersion int
	reported      bool
	waiting       []*dividedTask
	running       []*dividedTask
	wants         Wants
}

// dividedTask is a task, or a gang with the size of all its members.
type dividedTask struct {
	size      worker.Size
	inherited bool
	// noWorker is set if no worker of the shard has room for the task.
	noWorker bool
}

func newDivision(t *rapid.T) *division {
	return newDivisionOf(t, rapid.IntRange(2, 3).Draw(t, "shards"))
}

func newDivisionOf(t *rapid.T, shards int) *division {
	d := &division{
		t: t,
		record: []Parts{
			{},
		},
	}
	d.limits = []worker.Size{d.drawLimit()}
	for number := range shards {
		d.shards = append(d.shards, &dividedShard{
			book:     NewBook(number, 0),
			reported: true,
		})
	}
	for number, each := range d.shards {
		each.book = d.newBook(number, 0)
	}
	return d
}

func (d *division) drawLimit() worker.Size {
	return worker.Size{
		MilliCores:  rapid.SampledFrom([]int64{0, 4, 10, 20, 40}).Draw(d.t, "cores"),
		MemoryBytes: rapid.SampledFrom([]int64{0, 10, 30}).Draw(d.t, "memory"),
	}
}

func (d *division) newBook(number, version int) *Book {
	book := NewBook(number, len(d.shards))
	d.configure(book, version)
	return book
}

func (d *division) configure(book *Book, version int) {
	book.SetOrganisations(int64(version), map[string]catalog.Organisation{
		"mill": {
			Name:   "mill",
			Weight: 1,
			Limit:  d.limits[version],
		},
	})
}

// asked returns what the waiting tasks ask for, and sets their sizes in the book.
func (s *dividedShard) asked() map[string]worker.Size {
	total, units := worker.Size{}, []worker.Size(nil)
	for _, task := range s.waiting {
		total = total.Add(task.size)
		if !slices.Contains(units, task.size) {
			units = append(units, task.size)
		}
	}
	s.book.SetUnits(map[string][]worker.Size{"mill": units})
	return map[string]worker.Size{"mill": total}
}

// submit adds tasks to a shard.
func (d *division) submit(s *dividedShard) {
	size := worker.Size{
		MilliCores:  rapid.Int64Range(1, 3).Draw(d.t, "task cores"),
		MemoryBytes: rapid.Int64Range(0, 2).Draw(d.t, "task memory"),
	}
	for range rapid.IntRange(1, 9).Draw(d.t, "tasks") {
		s.waiting = append(s.waiting, &dividedTask{
			size: size,
		})
	}
}

// submitWide adds one task or gang of up to any limit to a shard.
func (d *division) submitWide(s *dividedShard) {
	s.waiting = append(s.waiting, &dividedTask{
		size: worker.Size{
			MilliCores:  rapid.Int64Range(1, 40).Draw(d.t, "wide cores"),
			MemoryBytes: rapid.Int64Range(0, 30).Draw(d.t, "wide memory"),
		},
	})
}

// start starts the first waiting task that the book's leader knows and may start.
func (d *division) start(s *dividedShard, book *Book) {
	for i, task := range s.waiting {
		// The former leader does not know new tasks, its successor does not start
		// inherited ones before all workers have reported.
		if task.inherited == (book == s.book) && !s.reported || task.noWorker || !book.Account("mill").Admits(task.size) {
			continue
		}
		book.Account("mill").Add(task.size)
		s.waiting = append(s.waiting[:i:i], s.waiting[i+1:]...)
		s.running = append(s.running, task)
		d.check(task.size)
		return
	}
}

// check fails if what runs in all shards exceeds the highest limit that is in
// force in any of them, in a resource that the started task asks for.
func (d *division) check(size worker.Size) {
	used, oldest := worker.Size{}, len(d.limits)-1
	for _, s := range d.shards {
		oldest = min(oldest, s.version)
		if s.former != nil {
			oldest = min(oldest, s.formerVersion)
		}
		for _, task := range s.running {
			used = used.Add(task.size)
		}
	}
	highest := Amount{}
	for _, limit := range d.limits[oldest:] {
		for r, most := range amountOf(limit) {
			if most == 0 {
				most = math.MaxInt64
			}
			highest[r] = max(highest[r], most)
		}
	}
	for r, need := range amountOf(size) {
		if need > 0 {
			require.LessOrEqual(d.t, amountOf(used)[r], highest[r], "resource %d", r)
		}
	}
}

// end ends a run; a leader that does not know the run learns of it by a report.
func (d *division) end(s *dividedShard) {
	if len(s.running) == 0 || !s.reported {
		return
	}
	task := s.running[0]
	s.running = s.running[1:]
	s.book.Account("mill").Remove(task.size)
}

func (d *division) step() {
	number := rapid.IntRange(0, len(d.shards)-1).Draw(d.t, "shard")
	s := d.shards[number]
	actions := []string{
		"submit", "submit", "submit wide", "start", "start", "start", "start", "start", "end", "end", "former", "former", "revise", "revise", "revise",
		"read", "sync", "sync", "sync", "apply", "report", "move",
	}
	if rapid.IntRange(0, 29).Draw(d.t, "rare") == 0 {
		actions = []string{"limit", "replace"}
	}
	switch rapid.SampledFrom(actions).Draw(d.t, "action") {
	case "submit":
		d.submit(s)
	case "submit wide":
		d.submitWide(s)
	case "start":
		for range rapid.IntRange(1, 9).Draw(d.t, "starts") {
			d.start(s, s.book)
		}
	case "former":
		if s.former != nil {
			d.start(s, s.former)
		}
	case "end":
		d.end(s)
	case "revise":
		d.revise(number, rapid.SampledFrom([]string{"ok", "ok", "ok", "refused", "no effect", "no answer", "no answer"}).Draw(d.t, "outcome"))
	case "read":
		d.read(s, rapid.IntRange(max(0, len(d.record)-3), len(d.record)-1).Draw(d.t, "revision"))
	case "sync":
		d.read(s, len(d.record)-1)
	case "limit":
		d.limits = append(d.limits, d.drawLimit())
	case "apply":
		s.version = rapid.IntRange(s.version, len(d.limits)-1).Draw(d.t, "version")
		d.configure(s.book, s.version)
	case "replace":
		d.replace(number)
	case "report":
		d.report(s)
	case "move":
		d.move(s)
	}
}
