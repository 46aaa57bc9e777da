// Package losses accounts for service that was lost, from the structured logs of the
// processes: for standing jobs the time over their target, by what was at work beside them,
// and away; for the others where their time went.
//
// It answers the on-call engineer's question "what does this day owe its callers, and why",
// and is pure: it reads lines and returns tables.
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

// line is what the accounts need of one log line. Fields that a line lacks are zero.
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
	Runs    int       `json:"runs"`

	// Of the way of a call, in milliseconds; see Path.
	TookMS    *int64 `json:"took_ms"`
	WaitedMS  int64  `json:"waited_ms"`
	DecidedMS int64  `json:"decided_ms"`
	AskedMS   *int64 `json:"asked_ms"`
	AfterStep bool   `json:"after_step"`
}

// taskName is a task's name. Some lines name several tasks by their indexes; they say
// nothing that is accounted here.
type taskName string

// UnmarshalJSON takes a string and skips anything else.
func (n *taskName) UnmarshalJSON(b []byte) error {
	if len(b) == 0 || b[0] != '"' {
		return nil
	}
	return json.Unmarshal(b, (*string)(n))
}

// Messages of the lines that are accounted, as the processes write them.
const (
	tookJob   = "control: Took a job in."
	started   = "runner: Started a run."
	ended     = "runner: A run ended."
	paced     = "runner: Set a run's pace."
	overBegan = "runner: Served tasks are over their target."
	overEnded = "runner: Served tasks are within their target again."
)

// longestLine bounds a log line, in bytes; a longer one is an error, since the rest of the
// file would be misread.
const longestLine = 1 << 20

// Log collects the lines of several files.
type Log struct {
	lines []line
	// Skipped counts lines without a JSON object.
	Skipped int
}

// Read adds a file's lines. Whatever stands before the JSON object of a line is skipped, so
// that collected logs with a prefix can be read as they are.
func (l *Log) Read(name string, r io.Reader) error {
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, 0, 1<<16), longestLine)
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
		return Class.New("reading %s: %v; give the logs as the processes wrote them, a line each", name, err)
	}
	return nil
}

// sorted returns the lines by time.
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
