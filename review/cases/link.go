package main

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// link is the path to a runner. While it is cut, open connections go silent and
// new ones cannot be opened, as behind a partition; what was sent into the cut
// is lost, and the connections that it was sent on are reset when the cut ends.
type link struct {
	listener net.Listener
	target   string
	address  string

	mu    sync.Mutex
	cond  *sync.Cond
	cut   bool
	conns map[net.Conn]bool
	// fillers keep the queue of new connections full during a cut, so that
	// further ones get no answer.
	fillers []net.Conn
}

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{
		listener: listener,
		target:   target,
		address:  listener.Addr().String(),
		conns:    map[net.Conn]bool{},
	}
	l.cond = sync.NewCond(&l.mu)
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return nil, err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 1) }); err != nil || listenErr != nil {
		return nil, fmt.Errorf("cannot shorten the queue of new connections: %v %v", err, listenErr)
	}
	go l.loop()
	return l, nil
}

func (l *link) loop() {
	for {
		caller, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.waitWhileCut()
		target, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = caller.Close()
			continue
		}
		l.mu.Lock()
		l.conns[caller], l.conns[target] = true, true
		l.mu.Unlock()
		go l.copy(caller, target)
		go l.copy(target, caller)
	}
}

func (l *link) waitWhileCut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.cut {
		l.cond.Wait()
	}
}

func (l *link) copy(from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		size, err := from.Read(buffer)
		l.mu.Lock()
		cut, open := l.cut, l.conns[from]
		l.mu.Unlock()
		if cut {
			return // lost; both ends are reset when the cut ends
		}
		if err != nil || !open {
			break
		}
		if _, err := to.Write(buffer[:size]); err != nil {
			break
		}
	}
	l.mu.Lock()
	delete(l.conns, from)
	delete(l.conns, to)
	l.mu.Unlock()
	_, _ = from.Close(), to.Close()
}

// begin begins a cut.
func (l *link) begin() {
	l.mu.Lock()
	l.cut = true
	l.mu.Unlock()
	for range 8 {
		filler, err := net.DialTimeout("tcp", l.address, 150*time.Millisecond)
		if err != nil {
			return // the queue is full
		}
		l.mu.Lock()
		l.fillers = append(l.fillers, filler)
		l.mu.Unlock()
	}
}

// end ends the cut.
func (l *link) end() {
	l.mu.Lock()
	for conn := range l.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	l.conns = map[net.Conn]bool{}
	for _, filler := range l.fillers {
		_ = filler.Close()
	}
	l.fillers = nil
	l.cut = false
	l.mu.Unlock()
	l.cond.Broadcast()
}
