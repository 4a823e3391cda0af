// Command cases3 plays the cases of the third review: it starts the program of this
// repository as separate processes, with stand-ins of the store, the runners and the
// clients on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are by name. Each returns an error if the case could not run.
var cases = map[string]func(w *world, trouble bool) error{}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases3 CASE RECORD")
		return 2
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	go w.closeOnSignal()
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, trouble %v", os.Args[1], trouble)
	if err := cases[os.Args[1]](w, trouble); err != nil {
		w.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, text := range w.broken {
		fmt.Println("BROKEN", text)
	}
	if len(w.broken) > 0 {
		return 1
	}
	fmt.Println("the rules held")
	return 0
}

// deploy starts three hosts, and waits for them.
func (w *world) deploy(guards bool, attempts int) error {
	w.configure(guards, attempts)
	return w.startHosts()
}

// startHosts starts a host in each zone, and waits for them.
func (w *world) startHosts() error {
	for _, zone := range []string{"recife", "jaboatao", "olinda"} {
		if _, err := w.addHost(zone); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

// closeOnSignal ends everything that was started when the driver is stopped.
func (w *world) closeOnSignal() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	<-stop
	w.close()
	os.Exit(2)
}
