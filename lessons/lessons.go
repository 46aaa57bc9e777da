// Package lessons keeps in the log what leaders have learned of the work that they schedule:
// which image disturbs which, how much headroom served images have, how far declared durations
// are off. A leader's own knowledge ends with its process; when all processes end at once, by a
// loss of power everywhere, the agents' copies end as well, and each of some hundred pairs would
// be learned anew at the cost of served tasks' users. State is pure.
package lessons

import (
	"cmp"
	"maps"
	"slices"
)

// Pair is what a processor of a filling image takes of a served image's headroom.
type Pair struct {
	Serving string  `msgpack:"s"`
	Filling string  `msgpack:"f"`
	Mean    float64 `msgpack:"m"`
	Var     float64 `msgpack:"v"`
	Seen    int     `msgpack:"n"` // steps behind it
}

// Level is the headroom that a served image has with nothing beside it: its mean, the mean of
// its square, and the readings behind these.
type Level struct {
	Image  string  `msgpack:"i"`
	Mean   float64 `msgpack:"m"`
	Square float64 `msgpack:"q"`
	N      float64 `msgpack:"n"`
}

// Duration is how long a queue's tasks take and how far their declarations are off, as means
// and mean squares of logarithms of milliseconds.
type Duration struct {
	Queue        string  `msgpack:"q"` // host and prefix
	N            float64 `msgpack:"n"`
	Actual       float64 `msgpack:"a"`
	ActualSquare float64 `msgpack:"b"`
	Miss         float64 `msgpack:"m"`
	MissSquare   float64 `msgpack:"s"`
}

// Update is what changed since the last one.
type Update struct {
	Pairs     []Pair     `msgpack:"p,omitempty"`
	Levels    []Level    `msgpack:"l,omitempty"`
	Durations []Duration `msgpack:"d,omitempty"`
}

// Empty reports whether nothing changed.
func (u *Update) Empty() bool { return len(u.Pairs)+len(u.Levels)+len(u.Durations) == 0 }

// Most of each that is kept, and an eighth more between two times that what was renewed longest
// ago is dropped. Images and queues come and go for years.
const (
	mostPairs     = 4000
	mostLevels    = 500
	mostDurations = 1000
)

// kept is a lesson with the log index of its last renewal.
type kept[T any] struct {
	Lesson T      `msgpack:"l"`
	Index  uint64 `msgpack:"i"`
}

// State is all lessons, by what they are about.
type State struct {
	Pairs     map[string]kept[Pair]     `msgpack:"p"`
	Levels    map[string]kept[Level]    `msgpack:"l"`
	Durations map[string]kept[Duration] `msgpack:"d"`
}

// NewState returns the state without any lesson.
func NewState() *State {
	return &State{Pairs: make(map[string]kept[Pair]), Levels: make(map[string]kept[Level]), Durations: make(map[string]kept[Duration])}
}

// Apply takes lessons over.
func (s *State) Apply(u Update, index uint64) {
	for _, p := range u.Pairs {
		s.Pairs[p.Serving+" "+p.Filling] = kept[Pair]{p, index}
	}
	for _, l := range u.Levels {
		s.Levels[l.Image] = kept[Level]{l, index}
	}
	for _, d := range u.Durations {
		s.Durations[d.Queue] = kept[Duration]{d, index}
	}
	forget(s.Pairs, mostPairs)
	forget(s.Levels, mostLevels)
	forget(s.Durations, mostDurations)
}

// forget drops the lessons that were renewed longest ago, down to a number.
func forget[T any](m map[string]kept[T], most int) {
	if len(m) <= most+most/8 {
		return
	}
	names := slices.SortedFunc(maps.Keys(m), func(a, b string) int {
		return cmp.Or(cmp.Compare(m[a].Index, m[b].Index), cmp.Compare(a, b))
	})
	for _, name := range names[:len(m)-most] {
		delete(m, name)
	}
}

// All returns all lessons, in order.
func (s *State) All() (u Update) {
	u.Pairs, u.Levels, u.Durations = sorted(s.Pairs), sorted(s.Levels), sorted(s.Durations)
	return u
}

func sorted[T any](m map[string]kept[T]) []T {
	out := make([]T, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[name].Lesson)
	}
	return out
}
