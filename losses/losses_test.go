package losses

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// at formats the time of a log line, given in milliseconds after a fixed start.
func at(ms int) string {
	return time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(ms) * time.Millisecond).Format(time.RFC3339Nano)
}

func read(t *testing.T, lines ...string) *Account {
	t.Helper()
	var l Log
	if err := l.Read("test", strings.NewReader(strings.Join(lines, "\n"))); err != nil {
		t.Fatal(err)
	}
	return l.Accounts()
}

func jobAccepted(ms int, job, steps string) string {
	return fmt.Sprintf(`{"msg":"control: Took a job in.","job":"/q/%s","steps":%q,"time":%q}`, job, steps, at(ms))
}

func run(ms int, what, task string, n int, rest string) string {
	return fmt.Sprintf(`{"msg":"runner: %s","task":%q,"run":%d%s,"time":%q}`, what, task, n, rest, at(ms))
}

func start(ms int, task string, n int) string { return run(ms, "Started a run.", task, n, "") }

func end(ms int, task string, n int, how string) string {
	return run(ms, "A run ended.", task, n, fmt.Sprintf(`,"how":%q`, how))
}

func wantLost(t *testing.T, j *Job, cause string, want time.Duration) {
	t.Helper()
	if got := j.Lost[cause]; got != want {
		t.Errorf("%s: lost %v, want %v", cause, got, want)
	}
}

// A job of two steps. The first step waits 40 ms for a place: 60 ms until the worker has
// answered, less 12 at the agent and 8 for the commit of the decision. A retry counts in the
// stages of all runs only, and a line without these fields is ignored.
func TestCallLatencyIsSplitByStage(t *testing.T) {
	stages := func(waited, decided, asked int, after bool) string {
		return fmt.Sprintf(`,"waited_ms":%d,"decided_ms":%d,"asked_ms":%d,"after_step":%v`, waited, decided, asked, after)
	}
	a := read(t,
		fmt.Sprintf(`{"msg":"control: Took a job in.","job":"/q/aa","steps":"1x300m, 1x300m after[0]","took_ms":9,"time":%q}`, at(9)),
		run(60, "Started a run.", "aa.0.0.0", 1, stages(60, 8, 12, false)), end(500, "aa.0.0.0", 1, "failed"),
		run(520, "Started a run.", "aa.0.0.0", 2, stages(0, 8, 5, false)), end(1020, "aa.0.0.0", 2, "done"),
		run(1050, "Started a run.", "aa.0.1.0", 1, stages(30, 7, 3, true)), end(1450, "aa.0.1.0", 1, "done"),
		start(1500, "aa.0.1.0", 2))
	for _, c := range []struct {
		stage Stage
		part  float64
		want  int
		n     int
	}{
		{StageCommit, 0.5, 9, 1}, {StagePlace, 0.5, 40, 1}, {StageNext, 0.5, 20, 1}, {StageOrder, 0.95, 8, 2},
		{StageStart, 0.5, 5, 3}, {StageStart, 0.95, 12, 3}, {StageWork, 0.95, 500, 2},
	} {
		got, n := a.Path.Quantile(Other, c.stage, c.part)
		if got != time.Duration(c.want)*time.Millisecond || n != c.n {
			t.Errorf("%s, %v of them: %v of %d, want %d ms of %d", c.stage, c.part, got, n, c.want, c.n)
		}
	}
	if _, n := a.Path.Quantile(Filling, StageWork, 0.5); n != 0 {
		t.Errorf("%d filling runs", n)
	}
}

// A filling job of two steps. The slower task of the first step waits half a second, is stopped
// after one second, waits again and runs for two, one of them at half pace. The second step
// waits a second. The parts must add up to the time from the job's arrival to its end.
func TestFillingJobTimeIsAccountedOnItsCriticalPath(t *testing.T) {
	a := read(t,
		jobAccepted(0, "aa", "2x7000m fills image=x, 1x7000m fills image=x after[0]"),
		start(100, "aa.0.0.0", 1), end(900, "aa.0.0.0", 1, "done"),
		start(500, "aa.0.0.1", 1), end(1500, "aa.0.0.1", 1, "stopped"),
		start(1750, "aa.0.0.1", 2),
		run(2750, "Set a run's pace.", "aa.0.0.1", 2, `,"percent":50`),
		end(3750, "aa.0.0.1", 2, "done"),
		start(4750, "aa.0.1.0", 1), end(5750, "aa.0.1.0", 1, "done"))
	j := a.Job("aa")
	if j == nil || !j.Finished || j.Took != 5750*time.Millisecond || j.Kind != Filling {
		t.Fatalf("the account is %+v", j)
	}
	wantLost(t, j, CauseWaiting, 1750*time.Millisecond)
	wantLost(t, j, CauseRedone, time.Second)
	wantLost(t, j, CausePaced, 500*time.Millisecond)
	if j.Worked != 2500*time.Millisecond {
		t.Errorf("worked %v", j.Worked)
	}
	if sum := j.Worked + j.Total(); sum != j.Took {
		t.Errorf("the parts add up to %v of %v", sum, j.Took)
	}
}

// Two standing tasks are over their target beside an image for three seconds, across the
// border of two windows, and the worker of a third is lost for two seconds.
func TestTimeOverTargetIsAttributedToTheImageBeside(t *testing.T) {
	over := func(ms int, task, what string) string {
		return fmt.Sprintf(`{"msg":"runner: A served task is %s","task":%q,"image":"watch","beside":"x","time":%q}`, what, task, at(ms))
	}
	a := read(t,
		jobAccepted(0, "bb", "3x9000m standing image=watch target=50ms"),
		start(0, "bb.0.0.0", 1), start(0, "bb.0.0.1", 1), start(0, "bb.0.0.2", 1),
		over(1000, "bb.0.0.0", "over its target."), over(1000, "bb.0.0.1", "over its target."),
		over(4000, "bb.0.0.0", "within its target again."), over(4000, "bb.0.0.1", "within its target again."),
		end(5000, "bb.0.0.2", 1, "lapsed"), start(7000, "bb.0.0.2", 2))
	j := a.Job("bb")
	wantLost(t, j, causeOverBeside+"x", 6*time.Second)
	wantLost(t, j, CauseUnavailable, 2*time.Second)
	if a.OverTarget[0] != 2*time.Second || a.OverTarget[1] != 4*time.Second {
		t.Errorf("by windows %v", a.OverTarget)
	}
	sums := a.Sums()
	if len(sums) != 2 || sums[0].Cause != causeOverBeside+"x" || sums[0].Jobs != 1 {
		t.Errorf("the sums are %+v", sums)
	}
}

// Collected logs have prefixes, lines of other programs, truncated lines, and lines of several
// processes out of order. Reading must skip what is not a log line and keep the rest; a job
// that never ended counts as unfinished.
func TestLogsAreReadAsTheyAreCollected(t *testing.T) {
	var l Log
	text := strings.Join([]string{
		"12.5 side-1 " + end(800, "cc.0.0.0", 1, "done"),
		"12.5 core-1 " + jobAccepted(0, "cc", "1x1000m"),
		"panic: nothing of ours", `{"msg":"cut`,
		"12.5 side-1 " + start(300, "cc.0.0.0", 1),
		"12.5 core-1 " + jobAccepted(100, "dd", "1x1000m"),
		`{"msg":"control: Placed a copy of a run that takes long.","task":[1,2],"time":"` + at(400) + `"}`}, "\n")
	if err := l.Read("collected", strings.NewReader(text)); err != nil {
		t.Fatal(err)
	}
	a := l.Accounts()
	if l.Skipped != 2 || len(a.Jobs) != 2 {
		t.Errorf("skipped %d, jobs %d", l.Skipped, len(a.Jobs))
	}
	if j := a.Job("cc"); !j.Finished || j.Took != 800*time.Millisecond {
		t.Errorf("the finished job is %+v", j)
	}
	if a.Job("dd").Finished {
		t.Error("a job that never began is finished")
	}
	if a.Job("ee") != nil {
		t.Error("a job that no line names has an account")
	}
}

// An agent dies while its served task is over its target, so the end of the violation is
// not logged. It must not count until the last line of the log, and must not end with the same
// task's violation on another worker.
func TestViolationWithoutALoggedEndCountsBriefly(t *testing.T) {
	over := func(ms int, worker, what string) string {
		return fmt.Sprintf(`{"msg":"runner: A served task is %s","worker":%q,"task":"bb.0.0.0","image":"watch","beside":"x","time":%q}`, what, worker, at(ms))
	}
	a := read(t, jobAccepted(0, "bb", "2x9000m standing image=watch target=50ms"),
		over(1000, "w1", "over its target."), over(2000, "w2", "over its target."),
		over(4000, "w2", "within its target again."), jobAccepted(60_000, "cc", "1x1000m"))
	wantLost(t, a.Job("bb"), causeOverBeside+"x", unclosedLimit+2*time.Second)
}

func TestOverlongLineIsAnError(t *testing.T) {
	var l Log
	err := l.Read("broken.log", strings.NewReader(strings.Repeat("x", maxLineLength+1)))
	if err == nil || !strings.Contains(err.Error(), "broken.log") {
		t.Errorf("got %v", err)
	}
	if a := l.Accounts(); len(a.Jobs) != 0 {
		t.Errorf("an empty log has jobs: %+v", a.Jobs)
	}
}

// A job of eleven consecutive steps. Sorted as text the eleventh would come before the third,
// and its wait would count from the end of the second.
func TestStepsAreAccountedInTheirOrder(t *testing.T) {
	lines := []string{jobAccepted(0, "ff", "1x1000m")}
	for i := range 11 {
		task := fmt.Sprintf("ff.0.%d.0", i)
		lines = append(lines, start(i*1000+100, task, 1), end((i+1)*1000, task, 1, "done"))
	}
	j := read(t, lines...).Job("ff")
	wantLost(t, j, CauseWaiting, 11*100*time.Millisecond)
	if j.Took != 11*time.Second {
		t.Errorf("it took %v", j.Took)
	}
}
