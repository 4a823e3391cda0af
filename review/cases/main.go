// Command cases plays one case of the review: a small deployment of the
// project's program, as separate processes on loopback addresses, among
// stand-ins for the platform's store, the runners and the clients.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"syscall"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// testCase plays a case. It returns the breaks of the rule, and an error if the
// case could not run. Without trouble it leaves the disruption out.
type testCase func(s *site, trouble bool) (breaks []string, err error)

func main() {
	name := flag.String("case", "", "the case to play")
	dir := flag.String("dir", ".", "the folder of the case")
	binary := flag.String("program", "", "the program, as the deploy file builds it")
	flag.Parse()
	os.Exit(play(*name, *dir, *binary))
}

func play(name, dir, binary string) int {
	chosen, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return notRun
	}
	path, err := filepath.Abs(binary)
	if err == nil {
		_, err = os.Stat(path)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "the program is not built:", err)
		return notRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r := newRecord()
	r.say("case %s, trouble %v", name, trouble)
	s, err := newSite(r, path, chosen.plans)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		s.end()
		os.Exit(notRun)
	}()
	breaks, err := chosen.play(s, trouble)
	s.end()
	code := held
	switch {
	case err != nil:
		r.say("the case could not run: %v", err)
		code = notRun
	case len(breaks) > 0:
		sort.Strings(breaks)
		r.say("the rule is broken %d times; the first:", len(breaks))
		for i, line := range breaks {
			if i < 10 {
				r.say("  %s", line)
			} else {
				r.add("  %s", line)
			}
		}
		code = broken
	default:
		r.say("the rule held")
	}
	if err := r.write(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	return code
}
