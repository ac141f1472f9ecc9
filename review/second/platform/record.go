//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

var record = &recorder{began: time.Now()}

func (r *recorder) open(path string) {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r.file = file
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file != nil {
		fmt.Fprintf(r.file, "%9.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
	}
}

// say writes a line to the record and to the standard output.
func (r *recorder) say(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf("%9.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file != nil {
		_ = r.file.Close()
		r.file = nil
	}
}
