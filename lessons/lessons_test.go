package lessons

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// A new lesson must replace the previous one about the same thing and leave the others unchanged,
// also after a snapshot.
func TestNewerLessonsReplaceOlder(t *testing.T) {
	s := NewState()
	s.Apply(Update{Pairs: []Pair{{"watch", "heavy", 0.1, 0.01, 1}, {"watch", "light", 0.01, 0.001, 4}}, Levels: []Level{{"watch", 2, 4.5, 9}}}, 1)
	s.Apply(Update{Pairs: []Pair{{"watch", "heavy", 0.2, 0.001, 9}}, Durations: []Duration{{"a/q/", 20, 7, 50, 0.1, 0.2}}}, 2)
	want := Update{Pairs: []Pair{{"watch", "heavy", 0.2, 0.001, 9}, {"watch", "light", 0.01, 0.001, 4}}, Levels: []Level{{"watch", 2, 4.5, 9}},
		Durations: []Duration{{"a/q/", 20, 7, 50, 0.1, 0.2}}}
	if got := s.All(); !reflect.DeepEqual(got, want) {
		t.Errorf("lessons are %+v", got)
	}
	b, err := msgpack.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	after := NewState()
	if err := msgpack.Unmarshal(b, after); err != nil {
		t.Fatal(err)
	}
	if got := after.All(); !reflect.DeepEqual(got, want) {
		t.Errorf("after a snapshot: %+v", got)
	}
}

// Images come and go for years. The lessons kept must stay bounded, and those updated last must be
// kept.
func TestLessonsAreBounded(t *testing.T) {
	s := NewState()
	for i := range 3 * maxPairs {
		s.Apply(Update{Pairs: []Pair{{Serving: "s", Filling: fmt.Sprint(i)}, {Serving: "s", Filling: "renewed"}}}, uint64(i))
	}
	if n := len(s.Pairs); n < maxPairs || n > maxPairs+maxPairs/8 {
		t.Errorf("%d pairs are kept", n)
	}
	for _, name := range []string{"renewed", fmt.Sprint(3*maxPairs - 1)} {
		if _, there := s.Pairs["s "+name]; !there {
			t.Errorf("the lesson about %s was dropped", name)
		}
	}
}
