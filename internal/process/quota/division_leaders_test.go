package quota

import "pgregory.net/rapid"

// revise commits the changes of a shard, with any outcome.
func (d *division) revise(number int, outcome string) {
	others := map[int]Wants{}
	for other, each := range d.shards {
		if other != number {
			others[other] = each.wants
		}
	}
	d.reviseFor(number, outcome, others)
}

// reviseFor commits the changes of a shard that knows certain wants of the others.
func (d *division) reviseFor(number int, outcome string, others map[int]Wants) {
	s := d.shards[number]
	if !s.verified {
		return
	}
	next, changed := s.book.Revise(s.asked(), others)
	current := len(d.record) - 1
	switch {
	case !changed:
	case s.revision != current || outcome == "refused":
		s.book.Refused()
		s.verified = false
	case outcome == "no effect":
		s.verified = false
	default:
		d.record = append(d.record, next)
		if outcome == "no answer" {
			s.verified = false
			return
		}
		s.book.SetParts(next)
		s.revision = current + 1
	}
}

// read reads the record at a revision. Before it is used by a leader that has a
// commit without an answer, or has just begun, a commit shows that it is the newest.
func (d *division) read(s *dividedShard, revision int) {
	switch {
	case !s.verified && revision == len(d.record)-1:
		s.verified, s.revision = true, revision
		s.book.SetParts(d.record[revision])
	case s.verified && revision > s.revision:
		s.revision = revision
		s.book.SetParts(d.record[revision])
	}
	s.wants = s.book.Wants(s.asked())
}

// replace begins the term of a new leader of a shard: it counts all tasks that may
// be running, and the former one goes on.
func (d *division) replace(number int) {
	s := d.shards[number]
	if s.former != nil {
		return
	}
	s.former, s.formerVersion = s.book, s.version
	s.version = rapid.IntRange(s.version, len(d.limits)-1).Draw(d.t, "version")
	s.book, s.verified, s.reported = d.newBook(number, s.version), false, false
	for _, tasks := range [][]*dividedTask{s.waiting, s.running} {
		for _, task := range tasks {
			task.inherited = true
			s.book.Account("mill").AddPossible(task.size, 1)
		}
	}
}

// report settles a new leader: all workers have reported, and the former leader's
// starts are refused from now on.
func (d *division) report(s *dividedShard) {
	if s.reported {
		return
	}
	s.book.ClearPossible()
	for _, task := range s.running {
		if task.inherited {
			s.book.Account("mill").Add(task.size)
		}
	}
	for _, task := range append(s.waiting, s.running...) {
		task.inherited = false
	}
	s.reported, s.former = true, nil
}

// move takes a task that was never started to another shard.
func (d *division) move(s *dividedShard) {
	to := d.shards[rapid.IntRange(0, len(d.shards)-1).Draw(d.t, "to")]
	for i, task := range s.waiting {
		if !task.inherited {
			s.waiting = append(s.waiting[:i:i], s.waiting[i+1:]...)
			to.waiting = append(to.waiting, task)
			return
		}
	}
}
