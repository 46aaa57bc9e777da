package daemon

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// logQueue is how many lines may wait for a slow reader: a few seconds of a busy
// process, under a megabyte.
const logQueue = 4096

var linesDropped = metrics.NewCounter(`waxwinghaven_log_lines_dropped_total`)

// logWriter writes lines behind the caller's back. When its reader is too slow,
// lines are dropped and counted: a full pipe would otherwise stop every request
// at its next log line.
type logWriter struct{ lines chan []byte }

// out is the writer in use, nil where lines are written at once.
var out *logWriter

// flushTime bounds the wait for the last lines of a process.
const flushTime = 200 * time.Millisecond

// FlushLog waits for the lines that are still queued: the last ones tell why a
// process ends. A reader that takes none holds it up for a moment only.
func FlushLog() {
	if out == nil {
		return
	}
	bound := time.Now().Add(flushTime)
	for len(out.lines) > 0 && time.Now().Before(bound) {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(time.Millisecond) // the last line has left the queue and is being written
}

func newLogWriter(to io.Writer) *logWriter {
	w := &logWriter{make(chan []byte, logQueue)}
	go func() {
		for b := range w.lines {
			to.Write(b) // nobody is left to be told of an error here
		}
	}()
	return w
}

// Write implements io.Writer and never blocks.
func (w *logWriter) Write(b []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), b...):
	default:
		linesDropped.Inc()
	}
	return len(b), nil
}
