// Package ablation names the mechanisms of the scheduling policy that can be disabled one
// at a time, to measure the benefit of each.
//
// They can't be chosen at run time. A program is built without a mechanism by setting a
// variable at link time, which scripts/ablate does in a scratch copy.
package ablation

import (
	"reflect"
	"strings"

	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// Set holds the mechanisms that are disabled. The zero value disables none.
type Set struct {
	// Pace: filling runs are slowed down beside served tasks that they interfere with.
	Pace bool
	// PaceAtStart: a run's pace is set at its start, before a measurement shows interference.
	PaceAtStart bool
	// Disturbance: filling tasks are not placed beside served tasks that they interfere with.
	Disturbance bool
	// Tries: a pair of images without measurements is tried where it does no harm at present.
	Tries bool
	// AgentsWord: placement uses the spare headroom that agents report for their served tasks.
	AgentsWord bool
	// Foresight: placement uses a forecast of the served tasks' own load.
	Foresight bool
	// Sharing: agents receive what other agents have learned about pairs of images.
	Sharing bool
	// Lessons: what a leader has learned is persisted: it survives a change of leader and a
	// power failure of all replicas.
	Lessons bool
	// Together: served tasks are packed onto workers that already have served tasks.
	Together bool
	// Likes: served tasks are placed beside similar ones, which the same images interfere with.
	Likes bool
	// Regroup: served tasks beside dissimilar ones are moved to similar ones.
	Regroup bool
	// Moves: filling runs that are stalled are moved.
	Moves bool
	// Leaving: standing tasks are moved off workers that are about to end.
	Leaving bool
	// Copies: a second copy of a long-running run is started.
	Copies bool
	// Health: workers whose runs fail get no new tasks for a while.
	Health bool
	// Slowness: slow workers are used last.
	Slowness bool
	// Whole: a filling step that does not fit completely begins only when most of it fits.
	Whole bool
	// Outlook: jobs are ordered by deadline class: whether they can still be in time.
	Outlook bool
	// Admission: jobs that can't meet their deadline are refused.
	Admission bool
}

// leftOut names the disabled mechanism, "" for none. It is set at link time.
var leftOut string

// Linked returns the mechanisms that this program was linked without. It panics on an
// unknown name: such a program would not measure anything.
func Linked() Set {
	s, err := Without(leftOut)
	if err != nil {
		panic(err)
	}
	return s
}

// Without returns the set that disables the named mechanism, "" for none.
func Without(name string) (Set, error) {
	var s Set
	if name == "" {
		return s, nil
	}
	f := reflect.ValueOf(&s).Elem().FieldByName(name)
	if !f.IsValid() {
		return s, refusal.New(refusal.Invalid, "name one of "+strings.Join(Names(), ", "), "no mechanism is called %q", name)
	}
	f.SetBool(true)
	return s, nil
}

// Names returns the names of all mechanisms.
func Names() []string {
	t := reflect.TypeFor[Set]()
	out := make([]string, t.NumField())
	for i := range out {
		out[i] = t.Field(i).Name
	}
	return out
}
