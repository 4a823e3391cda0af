package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["crowd"] = crowd }

const (
	// crowdSize is three quarters of the descriptors that a host may use.
	crowdSize = 3000
	// crowdLasts is how long the crowd stays.
	crowdLasts = 25 * time.Second
	// longestSilence is how long ordinary callers may be without any answer before
	// the host counts as hanging.
	longestSilence = 10 * time.Second
)

// crowd: many clients send one host chunked bodies of legal size in very small chunks,
// stop just short of their end and stay. Ordinary callers make small calls meanwhile.
func crowd(w *world, trouble bool) error {
	if _, err := w.addRunners(12, true); err != nil {
		return err
	}
	if err := w.deploy(true, 2); err != nil {
		return err
	}
	target := w.hosts[0]
	callers := &ordinaryCallers{
		world:    w,
		host:     target,
		answered: time.Now(),
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	all.Add(1)
	go func() {
		defer all.Done()
		callers.run(stop)
	}()
	time.Sleep(2 * time.Second)
	if trouble {
		text := smallChunks()
		w.note("%d clients connect to %s, each sends %d bytes", crowdSize, target.name, len(text))
		for n := range crowdSize {
			all.Add(1)
			go func() {
				defer all.Done()
				stay(target.front, n, text, stop)
			}()
		}
	}
	time.Sleep(crowdLasts)
	close(stop)
	callers.judge()
	select {
	case <-target.done:
		w.mu.Lock()
		w.breaks("a process has ended")
		w.mu.Unlock()
	default:
	}
	all.Wait()
	return nil
}

// smallChunks returns a body of 256 KiB less some bytes, in chunks of one byte, short of
// its last byte.
func smallChunks() string {
	const size = 262000
	body := `{"spec":"` + strings.Repeat("y", 3000) + `","note":"` + strings.Repeat("y", size-3100) + `","steps":[{"count":1,"cpu":500}]}`
	var out strings.Builder
	for n := range len(body) - 1 {
		out.WriteString("1\r\n" + body[n:n+1] + "\r\n")
	}
	return out.String()
}

// stay sends one submission and stays until it is refused or the crowd leaves.
func stay(front string, number int, text string, stop <-chan struct{}) {
	conn, err := net.DialTimeout("tcp", front, 5*time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	go func() {
		<-stop
		_ = conn.Close()
	}()
	_, err = fmt.Fprintf(conn, "POST /lohu930/c0%014x HTTP/1.1\r\nHost: nony24.example\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n%s", number, text)
	if err == nil {
		_, _ = conn.Read(make([]byte, 512))
	}
}

// ordinaryCallers ask for a queue's count, each on a connection of its own.
type ordinaryCallers struct {
	world *world
	host  *host

	mu sync.Mutex
	// answered is when the last answer came, silent the longest time without one.
	answered       time.Time
	silent         time.Duration
	calls, answers int
	statuses       map[int]int
	inFlight       sync.WaitGroup
}

func (o *ordinaryCallers) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			o.inFlight.Wait()
			return
		case <-time.After(500 * time.Millisecond):
		}
		o.inFlight.Add(1)
		go func() {
			defer o.inFlight.Done()
			status, _ := o.world.call(o.host, http.MethodGet, "/lohu930/", nil)
			o.mu.Lock()
			defer o.mu.Unlock()
			o.calls++
			if status == 0 {
				return
			}
			o.answers++
			o.silent = max(o.silent, time.Since(o.answered))
			o.answered = time.Now()
		}()
	}
}

func (o *ordinaryCallers) judge() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.silent = max(o.silent, time.Since(o.answered))
	o.world.note("ordinary callers: %d calls, %d answers, the longest time without an answer %s", o.calls, o.answers, o.silent.Round(time.Millisecond))
	if o.silent > longestSilence {
		o.world.mu.Lock()
		o.world.breaks("no ordinary caller of %s gets an answer for %s", o.host.name, o.silent.Round(time.Millisecond))
		o.world.mu.Unlock()
	}
}
