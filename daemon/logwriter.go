package daemon

import (
	"io"

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

func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{make(chan []byte, logQueue)}
	go func() {
		for b := range w.lines {
			out.Write(b) // nobody is left to be told of an error here
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
