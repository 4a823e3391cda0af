package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record collects what was sent, answered and run, in the order of time.
type record struct {
	mu    sync.Mutex
	began time.Time
	lines []string
}

func newRecord() *record {
	return &record{
		began: time.Now(),
	}
}

// add appends a line with the time since the begin.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%9.3f  ", time.Since(r.began).Seconds())+fmt.Sprintf(format, args...))
}

// say appends a line and prints it.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf("%9.3f  "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// write writes record.txt in the folder of the case.
func (r *record) write(dir string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	out, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return err
	}
	for _, line := range r.lines {
		if _, err := fmt.Fprintln(out, line); err != nil {
			_ = out.Close()
			return err
		}
	}
	return out.Close()
}
