// Package losses accounts for lost service from the structured logs of the processes. For
// standing jobs that is the time over their latency target, by the images that ran on the same
// worker, and the time that their tasks were not running; for other jobs, where their time went.
//
// It helps on-call engineers to find out which service was lost in a period, and why. It reads
// log lines and returns tables, without side effects.
package losses

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Class groups the errors of this package.
var Class = errs.Class("losses")

// line holds the fields of a log line that the accounts need; missing ones are zero.
type line struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Job     string    `json:"job"`  // path of a caller's call, or a job's id
	Task    taskName  `json:"task"` // of a run
	Steps   string    `json:"steps"`
	How     string    `json:"how"`
	Percent int       `json:"percent"`
	Image   string    `json:"image"`
	Worker  string    `json:"worker"`
	Beside  string    `json:"beside"`

	// Latencies of the stages of a call, in milliseconds; see Path.
	TookMS    *int64 `json:"took_ms"`
	WaitedMS  int64  `json:"waited_ms"`
	DecidedMS int64  `json:"decided_ms"`
	AskedMS   *int64 `json:"asked_ms"`
	AfterStep bool   `json:"after_step"`
}

// taskName is a task's name. Some lines have a list of task indexes in the same field; they
// are not accounted for here.
type taskName string

// UnmarshalJSON decodes a string and ignores any other value.
func (n *taskName) UnmarshalJSON(b []byte) error {
	if len(b) == 0 || b[0] != '"' {
		return nil
	}
	return json.Unmarshal(b, (*string)(n))
}

// Messages of the log lines that are accounted for; they must match those that the processes
// log.
const (
	msgJobAccepted  = "control: Took a job in."
	msgRunStarted   = "runner: Started a run."
	msgRunEnded     = "runner: A run ended."
	msgPaceSet      = "runner: Set a run's pace."
	msgOverTarget   = "runner: A served task is over its target."
	msgWithinTarget = "runner: A served task is within its target again."
)

// maxLineLength bounds a log line, in bytes. A longer one is an error, since the rest of the
// file would be misread.
const maxLineLength = 1 << 20

// Log collects the lines of several files.
type Log struct {
	lines []line
	// Skipped counts the lines without a JSON object that has a time.
	Skipped int
}

// Read adds the lines of r; name is for error messages. Text before the JSON object of a line
// is ignored, so that logs can be read with the prefixes that a collector adds.
func (l *Log) Read(name string, r io.Reader) error {
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, 0, 1<<16), maxLineLength)
	for in.Scan() {
		at := bytes.IndexByte(in.Bytes(), '{')
		if at < 0 {
			l.Skipped++
			continue
		}
		var x line
		if err := json.Unmarshal(in.Bytes()[at:], &x); err != nil || x.Time.IsZero() {
			l.Skipped++
			continue
		}
		l.lines = append(l.lines, x)
	}
	if err := in.Err(); err != nil {
		return Class.New("reading %s: %v; give the logs as the processes wrote them, one JSON object per line", name, err)
	}
	return nil
}

// sorted returns the lines in order of time.
func (l *Log) sorted() []line {
	slices.SortStableFunc(l.lines, func(a, b line) int { return a.Time.Compare(b.Time) })
	return l.lines
}

// jobOf returns the id of the job that a task's name or a call's path belongs to.
func jobOf(name string) string {
	if i := strings.LastIndexByte(name, '/'); i >= 0 {
		name = name[i+1:]
	}
	id, _, _ := strings.Cut(name, ".")
	return id
}

// stepName is the occurrence and step of a task.
type stepName struct{ occurrence, step int }

func (n stepName) compare(other stepName) int {
	return cmp.Or(cmp.Compare(n.occurrence, other.occurrence), cmp.Compare(n.step, other.step))
}

// stepOf returns the step of a task's name ID.K.STEP.INDEX, false for another kind of name.
func stepOf(task string) (n stepName, ok bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return n, false
	}
	occurrence, err1 := strconv.Atoi(parts[1])
	step, err2 := strconv.Atoi(parts[2])
	return stepName{occurrence, step}, err1 == nil && err2 == nil
}
