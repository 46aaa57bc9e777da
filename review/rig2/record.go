package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the account of a case: one line for each message and event, with the time in
// milliseconds since the case began.
type record struct {
	mu    sync.Mutex
	file  *os.File
	w     *bufio.Writer
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, w: bufio.NewWriter(f), began: time.Now()}, nil
}

// log adds a line. who is the stand-in that saw the event.
func (r *record) log(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%7d %-12s %s\n", time.Since(r.began).Milliseconds(), who, fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.Flush()
	r.file.Close()
}
