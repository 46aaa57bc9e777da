package learned

import (
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/ablation"
	"github.com/waxwinghaven/waxwinghaven/lessons"
)

// Only changed lessons are committed, and restored ones never replace what a leader has observed
// itself.
func TestOnlyNewLessonsAreCommitted(t *testing.T) {
	c, l, writer := NewCosts(ablation.Set{}), NewDurationModel(), NewLessonWriter()
	reportFillers(c, "w", "heavy", 0.15, 0, 8, 0, 8)
	first := writer.Next(c, l)
	if len(first.Pairs) != 1 || len(first.Levels) != 1 || len(first.Durations) != 0 {
		t.Fatalf("the first lessons are %+v", first)
	}
	if again := writer.Next(c, l); !again.Empty() {
		t.Errorf("without a change: %+v", again)
	}
	before := c.At(time.Now()).Cost("watch", "heavy")
	c.Restore(lessons.Update{Pairs: []lessons.Pair{{Serving: "watch", Filling: "heavy", Mean: 0.4, Var: 0.001, Seen: 9}}})
	if got := c.At(time.Now()).Cost("watch", "heavy"); got != before {
		t.Errorf("an observed cost of %.3f became %.3f by an older lesson", before, got)
	}
}
