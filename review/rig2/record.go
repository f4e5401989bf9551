package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what a play writes down: what was sent, answered and run, with seconds since the start. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() { _ = r.file.Close() }
