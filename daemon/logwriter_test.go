package daemon

import (
	"testing"
)

// blockedWriter never returns from a write.
type blockedWriter struct{}

func (blockedWriter) Write([]byte) (int, error) { select {} }

// When the reader of the log has stopped reading, a request that logs a line must not
// block. Lines that do not fit into the queue are dropped and counted.
func TestLogNeverWaitsForItsReader(t *testing.T) {
	w := newLogWriter(blockedWriter{})
	before := linesDropped.Get()
	for range logQueue + 100 {
		if n, err := w.Write([]byte("line")); n != 4 || err != nil {
			t.Fatalf("wrote %d (%v)", n, err)
		}
	}
	if dropped := linesDropped.Get() - before; dropped < 99 || dropped > 100 {
		t.Errorf("%d lines are counted as dropped", dropped)
	}
}
