package daemon

import (
	"testing"
)

// stuckReader takes no line at all.
type stuckReader struct{}

func (stuckReader) Write([]byte) (int, error) { select {} }

// Whoever reads the log has stopped reading. A request that writes its line must
// not wait for that; the lines that find no room are counted.
func TestLogNeverWaitsForItsReader(t *testing.T) {
	w := newLogWriter(stuckReader{})
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
