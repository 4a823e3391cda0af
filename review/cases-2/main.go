// Command review-cases-2 plays the scripted cases of the second review. Each
// case starts hosts of the project as separate processes, and runs the store,
// the runners and the callers itself, on loopback addresses. It exits with 1 if
// the rule of the case was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// A reviewCase plays one case. It returns whether the rule was broken.
type reviewCase func(s *site, trouble bool) (broken bool, err error)

var cases = map[string]reviewCase{
	"advice-burst":    adviceBurst,
	"copied-entry":    copiedEntry,
	"forgotten-job":   forgottenJob,
	"late-copy":       lateCopy,
	"late-submission": lateSubmission,
	"removed-queue":   removedQueue,
	"removed-advice":  removedAdvice,
	"hang-up":         hangUp,
}

// maxDuration is how long a case may take.
const maxDuration = 115 * time.Second

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-cases-2 CASE FOLDER")
		return 2
	}
	name, folder := os.Args[1], os.Args[2]
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.note("case %s, trouble %t", name, trouble)
	s, err := newSite(record)
	if err != nil {
		record.note("the case could not run: %v", err)
		return 2
	}
	defer s.stop()
	limit := maxDuration
	if name == "forgotten-job" {
		limit *= 2 // no case: it takes longer than one may
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	var broken bool
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		broken, err = cases[name](s, trouble)
	}()
	select {
	case <-ended:
	case got := <-interrupted:
		record.note("the case could not run: %v", got)
		return 2
	case <-time.After(limit):
		record.note("the case could not run: %s are over", limit)
		return 2
	}
	switch {
	case err != nil:
		record.note("the case could not run: %v", err)
		return 2
	case broken:
		record.note("result: the rule was broken")
		return 1
	}
	record.note("result: the rule held")
	return 0
}
