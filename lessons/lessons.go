// Package lessons keeps in the log what leaders have learned about the work that they schedule:
// which filling images interfere with which served images, how much headroom served images have,
// and how far declared durations are off. The knowledge of a leader ends with its process, and
// when all processes end together, as in a complete loss of power, the agents' copies are lost as
// well. Each of some hundred pairs would then have to be learned again at the cost of the users of
// served tasks. State does no I/O and is not safe for concurrent use.
package lessons

import (
	"cmp"
	"maps"
	"slices"
)

// Pair is the headroom that one processor of a filling image takes from a served image.
type Pair struct {
	Serving string  `msgpack:"s"`
	Filling string  `msgpack:"f"`
	Mean    float64 `msgpack:"m"`
	Var     float64 `msgpack:"v"`
	Seen    int     `msgpack:"n"` // number of steps observed
}

// Level is the headroom that a served image has alone: its mean, its mean square, and the number of
// readings behind them.
type Level struct {
	Image  string  `msgpack:"i"`
	Mean   float64 `msgpack:"m"`
	Square float64 `msgpack:"q"`
	N      float64 `msgpack:"n"`
}

// Duration is how long a queue's tasks take and how far their declared durations are off, as means
// and mean squares of logarithms of milliseconds.
type Duration struct {
	Queue        string  `msgpack:"q"` // host and prefix
	N            float64 `msgpack:"n"`
	Actual       float64 `msgpack:"a"`
	ActualSquare float64 `msgpack:"b"`
	Miss         float64 `msgpack:"m"`
	MissSquare   float64 `msgpack:"s"`
}

// Update is what has changed since the previous update.
type Update struct {
	Pairs     []Pair     `msgpack:"p,omitempty"`
	Levels    []Level    `msgpack:"l,omitempty"`
	Durations []Duration `msgpack:"d,omitempty"`
}

// Empty reports whether the update contains nothing.
func (u *Update) Empty() bool { return len(u.Pairs)+len(u.Levels)+len(u.Durations) == 0 }

// Numbers of lessons of each kind that are kept. A number may be exceeded by an eighth before the
// lessons updated longest ago are dropped. Without a bound the state would grow, since images and
// queues come and go for years.
const (
	maxPairs     = 4000
	maxLevels    = 500
	maxDurations = 1000
)

// record is a lesson with the log index of its last update.
type record[T any] struct {
	Lesson T      `msgpack:"l"`
	Index  uint64 `msgpack:"i"`
}

// State holds all lessons, each under the pair, image or queue that it is about.
type State struct {
	Pairs     map[string]record[Pair]     `msgpack:"p"`
	Levels    map[string]record[Level]    `msgpack:"l"`
	Durations map[string]record[Duration] `msgpack:"d"`
}

// NewState returns a state without lessons.
func NewState() *State {
	return &State{Pairs: make(map[string]record[Pair]), Levels: make(map[string]record[Level]), Durations: make(map[string]record[Duration])}
}

// Apply stores the lessons of an update committed at a log index.
func (s *State) Apply(u Update, index uint64) {
	for _, p := range u.Pairs {
		s.Pairs[p.Serving+" "+p.Filling] = record[Pair]{p, index}
	}
	for _, l := range u.Levels {
		s.Levels[l.Image] = record[Level]{l, index}
	}
	for _, d := range u.Durations {
		s.Durations[d.Queue] = record[Duration]{d, index}
	}
	evictOldest(s.Pairs, maxPairs)
	evictOldest(s.Levels, maxLevels)
	evictOldest(s.Durations, maxDurations)
}

// evictOldest drops the lessons updated longest ago once the limit is exceeded by an eighth.
func evictOldest[T any](m map[string]record[T], limit int) {
	if len(m) <= limit+limit/8 {
		return
	}
	names := slices.SortedFunc(maps.Keys(m), func(a, b string) int {
		return cmp.Or(cmp.Compare(m[a].Index, m[b].Index), cmp.Compare(a, b))
	})
	for _, name := range names[:len(m)-limit] {
		delete(m, name)
	}
}

// All returns all lessons, ordered by what they are about.
func (s *State) All() (u Update) {
	u.Pairs, u.Levels, u.Durations = sorted(s.Pairs), sorted(s.Levels), sorted(s.Durations)
	return u
}

func sorted[T any](m map[string]record[T]) []T {
	out := make([]T, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[name].Lesson)
	}
	return out
}
