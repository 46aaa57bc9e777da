package lessons

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// What is learned anew replaces what was known; the rest stays, also through a snapshot.
func TestNewerLessonsReplaceOlder(t *testing.T) {
	s := NewState()
	s.Apply(Update{Pairs: []Pair{{"watch", "heavy", 0.1, 0.01, 1}, {"watch", "light", 0.01, 0.001, 4}}, Levels: []Level{{"watch", 2, 4.5, 9}}}, 1)
	s.Apply(Update{Pairs: []Pair{{"watch", "heavy", 0.2, 0.001, 9}}, Durations: []Duration{{"a/q/", 20, 7, 50, 0.1, 0.2}}}, 2)
	want := Update{Pairs: []Pair{{"watch", "heavy", 0.2, 0.001, 9}, {"watch", "light", 0.01, 0.001, 4}}, Levels: []Level{{"watch", 2, 4.5, 9}},
		Durations: []Duration{{"a/q/", 20, 7, 50, 0.1, 0.2}}}
	if got := s.All(); !reflect.DeepEqual(got, want) {
		t.Errorf("kept are %+v", got)
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

// Images come and go for years, and what is kept of them stays bounded: what was renewed last
// stays.
func TestLessonsAreBounded(t *testing.T) {
	s := NewState()
	for i := range 3 * mostPairs {
		s.Apply(Update{Pairs: []Pair{{Serving: "s", Filling: fmt.Sprint(i)}, {Serving: "s", Filling: "renewed"}}}, uint64(i))
	}
	if n := len(s.Pairs); n < mostPairs || n > mostPairs+mostPairs/8 {
		t.Errorf("%d pairs are kept", n)
	}
	for _, name := range []string{"renewed", fmt.Sprint(3*mostPairs - 1)} {
		if _, there := s.Pairs["s "+name]; !there {
			t.Errorf("%s is forgotten", name)
		}
	}
}
