package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// gangWait is gang_wait_ms.
const gangWait = 3 * time.Second

// gangs are the runs of gangs on all runners.
var gangs = &gangBook{
	runs: map[string]*gangRun{},
}

// gangBook holds the runs of gangs by step and run.
type gangBook struct {
	mu   sync.Mutex
	runs map[string]*gangRun
}

// gangRun is one run of a gang. Its members work from the moment when all of
// them are present, and end done together. If one ends otherwise, the others
// end broken.
type gangRun struct {
	members map[*run]*runner
	over    bool
}

func gangKey(each *run) string {
	return fmt.Sprintf("%s#%d", each.task[:strings.LastIndex(each.task, ".")], each.number)
}

// join adds a member.
func (g *gangBook) join(r *runner, each *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := gangKey(each)
	if g.runs[key] == nil {
		g.runs[key] = &gangRun{
			members: map[*run]*runner{},
		}
	}
	gang := g.runs[key]
	gang.members[each] = r
	switch {
	case gang.over:
		go r.endRun(each, "broken")
	case len(gang.members) == each.plan.gang:
		time.AfterFunc(each.plan.duration, func() { g.finish(gang, nil, each.plan.ending) })
	default:
		time.AfterFunc(gangWait, func() {
			g.mu.Lock()
			alone := !gang.over && len(gang.members) < each.plan.gang
			g.mu.Unlock()
			if alone {
				r.endRun(each, "alone")
			}
		})
	}
}

// leave breaks a gang of which a member has ended before the others.
func (g *gangBook) leave(each *run, ending string) {
	if ending == "done" || ending == "broken" {
		return
	}
	g.mu.Lock()
	gang := g.runs[gangKey(each)]
	g.mu.Unlock()
	if gang != nil {
		g.finish(gang, each, "broken")
	}
}

// finish ends all members but one.
func (g *gangBook) finish(gang *gangRun, but *run, ending string) {
	g.mu.Lock()
	if gang.over {
		g.mu.Unlock()
		return
	}
	gang.over = true
	members := map[*run]*runner{}
	for each, r := range gang.members {
		members[each] = r
	}
	g.mu.Unlock()
	for each, r := range members {
		if each != but {
			r.endRun(each, ending)
		}
	}
}
