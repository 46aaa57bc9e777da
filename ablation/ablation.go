// Package ablation names the mechanisms of the scheduling policy that can be left out one
// by one, to measure what each is worth.
//
// Nothing at run time chooses them. A program is built without a mechanism by setting a
// variable when it is linked, which scripts/ablate does in a scratch copy.
package ablation

import (
	"reflect"
	"strings"

	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// Set holds the mechanisms that are left out. The zero value leaves out none.
type Set struct {
	// Pace: filling runs are slowed beside served tasks that they disturb.
	Pace bool
	// PaceAtStart: a run's pace is set with its start, before a reading shows it.
	PaceAtStart bool
	// Disturbance: filling tasks keep away from served tasks that they disturb.
	Disturbance bool
	// Tries: a pair of images never seen is tried where it is harmless at the moment.
	Tries bool
	// AgentsWord: placing goes by what agents say that their served tasks bear.
	AgentsWord bool
	// Foresight: placing goes by a forecast of the served tasks' own load.
	Foresight bool
	// Sharing: agents are told what others have learned of pairs.
	Sharing bool
	// Lessons: what a leader has learned outlives it, and a loss of power everywhere.
	Lessons bool
	// Together: served tasks gather on the workers that have some.
	Together bool
	// Likes: served tasks gather with those that are disturbed by the same images.
	Likes bool
	// Regroup: served tasks that stand among others move to their like.
	Regroup bool
	// Moves: filling runs that are held up are moved.
	Moves bool
	// Leaving: standing tasks leave workers that are about to end.
	Leaving bool
	// Copies: runs that take long get a second one.
	Copies bool
	// Health: workers that fail what they run get nothing for a while.
	Health bool
	// Slowness: slow workers are taken last.
	Slowness bool
	// Whole: past the room a filling job begins when most of its step fits.
	Whole bool
	// Outlook: jobs are served by what they can still come to.
	Outlook bool
	// Admission: jobs that can't be in time are refused.
	Admission bool
}

// leftOut names one mechanism, "" for none. It is set when the program is linked.
var leftOut string

// Linked returns the mechanisms that this program was linked without. It panics on a name
// that there is not: a program built so would measure nothing.
func Linked() Set {
	s, err := Without(leftOut)
	if err != nil {
		panic(err)
	}
	return s
}

// Without returns the set that leaves out the mechanism of a name, "" for none.
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
