package daemon

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// logQueue is the number of lines queued for a slow reader: a few seconds of a busy
// process, less than a megabyte.
const logQueue = 4096

var linesDropped = metrics.NewCounter(`waxwinghaven_log_lines_dropped_total`)

// logWriter writes lines asynchronously. When the reader is too slow, lines are dropped and
// counted: a full pipe would otherwise block every request at its next log line.
type logWriter struct{ lines chan []byte }

// logOut is the writer in use, nil if lines are written synchronously.
var logOut *logWriter

// flushTime bounds the wait for the last lines of a process.
const flushTime = 200 * time.Millisecond

// FlushLog waits for the queued lines to be written, since the last ones tell why the process
// ends. It gives up after flushTime if the reader is blocked.
func FlushLog() {
	if logOut == nil {
		return
	}
	deadline := time.Now().Add(flushTime)
	for len(logOut.lines) > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(time.Millisecond) // the last line has left the queue but may not be written yet
}

func newLogWriter(to io.Writer) *logWriter {
	w := &logWriter{make(chan []byte, logQueue)}
	go func() {
		for b := range w.lines {
			to.Write(b) // an error can't be reported: this is the log
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
