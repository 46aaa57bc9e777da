package market

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// oracle is a minimal model of the rule: a change takes effect if its base is the current
// revision of its market, and a change that was accepted before gets its first answer.
type oracle struct {
	revision uint64
	markets  map[string]uint64
	accepted map[string]uint64
	inForce  map[string]string
}

// generatedChange is one generated change of an operator. Ids, markets and bases come from small
// ranges, so that changes collide often.
type generatedChange struct{ ID, Market, Preset, Back int }

func (o *oracle) apply(c Change) (uint64, refusal.Code) {
	if r, ok := o.accepted[c.ID]; ok {
		return r, ""
	}
	if c.Base != o.markets[c.Market] {
		return 0, refusal.Conflict
	}
	o.revision++
	o.markets[c.Market], o.accepted[c.ID], o.inForce[c.Market] = o.revision, o.revision, c.Name
	return o.revision, ""
}

// seeded returns a state and a model with three markets, which have two presets each.
func seeded() (*State, *oracle) {
	s, o := NewState(), &oracle{markets: make(map[string]uint64), accepted: make(map[string]uint64), inForce: make(map[string]string)}
	base := make(map[string]uint64)
	for m := range 3 {
		name := fmt.Sprint("m", m)
		changes := []Change{{Verb: PutMarket}, {Verb: PutPreset, Preset: &Preset{Name: "p0", MaxSlowdown: 1}}, {Verb: PutPreset, Preset: &Preset{Name: "p1", MaxSlowdown: 1}}}
		for i, c := range changes {
			c.ID, c.Market, c.Base = fmt.Sprint("seed", m, i), name, base[name]
			a, err := s.Apply(c)
			if err != nil {
				panic(err)
			}
			base[name], o.revision, o.markets[name] = a.Revision, a.Revision, a.Revision
		}
	}
	return s, o
}

// Operators send concurrent changes with equal bases and resend changes whose answers were lost,
// before and after a snapshot and restart. Each change must take effect once or not at all, as in
// the model, and each market must have the model's preset and revision, which never decreases.
func TestRacingChangesAgreeWithTheOracle(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(4)
	params.MinSuccessfulTests = 300
	props := gopter.NewProperties(params)
	one := gen.Struct(reflect.TypeOf(generatedChange{}), map[string]gopter.Gen{"ID": gen.IntRange(0, 40), "Market": gen.IntRange(0, 2), "Preset": gen.IntRange(0, 1), "Back": gen.IntRange(0, 4)})
	props.Property("changes", prop.ForAll(func(changes []generatedChange) string {
		s, o := seeded()
		seen := make(map[string]Change)
		for i, r := range changes {
			if msg := s.applyAndCompare(o, seen, r); msg != "" {
				return msg
			}
			if i%17 == 16 {
				s = restored(s)
			}
		}
		return ""
	}, gen.SliceOfN(120, one)))
	props.TestingRun(t)
}

// applyAndCompare applies a change to the state and to the model and returns the difference, or "".
func (s *State) applyAndCompare(o *oracle, seen map[string]Change, r generatedChange) string {
	c := Change{ID: fmt.Sprint("c", r.ID), Verb: UsePreset, Market: fmt.Sprint("m", r.Market), Name: fmt.Sprint("p", r.Preset)}
	c.Base = o.markets[c.Market]
	if r.Back == 0 && c.Base > 0 {
		c.Base-- // based on an outdated state
	}
	if first, ok := seen[c.ID]; ok {
		c = first // resent
	}
	seen[c.ID] = c
	want, code := o.apply(c)
	got, err := s.Apply(c)
	if code == "" && (err != nil || got.Revision != want) {
		return fmt.Sprintf("%+v: got %v %v, want revision %d", c, got, err, want)
	}
	if code != "" && !refusal.Is(err, code) {
		return fmt.Sprintf("%+v: got %v, want %s", c, err, code)
	}
	for name, preset := range o.inForce {
		if v := s.Markets[name]; v.InForce != preset || v.Revision != o.markets[name] {
			return fmt.Sprintf("%s has %q in force at %d, want %q at %d", name, v.InForce, v.Revision, preset, o.markets[name])
		}
	}
	return ""
}

// restored returns the state as decoded from its own snapshot.
func restored(s *State) *State {
	b, err := msgpack.Marshal(s)
	if err != nil {
		panic(err)
	}
	out := NewState()
	if err := msgpack.Unmarshal(b, out); err != nil {
		panic(err)
	}
	return out
}

// Two operators change the same market from the same revision. The second must be refused with
// the id of the accepted change and the current revision, so that the operator can retry from it.
func TestConflictNamesTheAcceptedChange(t *testing.T) {
	s, o := seeded()
	base := o.markets["m0"]
	if _, err := s.Apply(Change{ID: "first", Base: base, Verb: UsePreset, Market: "m0", Name: "p0"}); err != nil {
		t.Fatal(err)
	}
	_, err := s.Apply(Change{ID: "second", Base: base, Verb: UsePreset, Market: "m0", Name: "p1"})
	e, ok := refusal.Of(err)
	if !ok || e.Code != refusal.Conflict || e.LastChange != "first" || e.Revision != base+7 {
		t.Fatalf("refusal: %+v", err)
	}
}

// Only the latest answers are kept. A change whose answer has been discarded must still be refused
// when it is sent again: its first application has made its base outdated.
func TestChangeWithDiscardedAnswerIsStillRefused(t *testing.T) {
	s, o := seeded()
	first := Change{ID: "old", Base: o.markets["m0"], Verb: UsePreset, Market: "m0", Name: "p0"}
	if _, err := s.Apply(first); err != nil {
		t.Fatal(err)
	}
	for i := range MaxKeptAnswers + 1 {
		c := Change{ID: fmt.Sprint("x", i), Base: s.Markets["m1"].Revision, Verb: UsePreset, Market: "m1", Name: "p0"}
		if _, err := s.Apply(c); err != nil {
			t.Fatal(err)
		}
	}
	if len(s.Answers) != MaxKeptAnswers || len(s.Order) != MaxKeptAnswers {
		t.Fatalf("%d answers kept", len(s.Answers))
	}
	if _, err := s.Apply(first); !refusal.Is(err, refusal.Conflict) {
		t.Fatalf("a change whose answer was discarded: %v", err)
	}
}

// An invalid change must be refused with the right code and a remedy, and must not change the
// revision.
func TestBadChangesAreRefused(t *testing.T) {
	svc := func(f func(*Service)) *Service {
		s := &Service{Name: "s", PathPrefix: "/s", TimeoutMS: 10}
		f(s)
		return s
	}
	job := func(f func(*Job)) *Job {
		j := &Job{Name: "j", Team: "none", Class: ClassBatch, MilliCPU: 1, RunTimeMS: 1}
		f(j)
		return j
	}
	cases := []struct {
		change Change
		code   refusal.Code
	}{
		{Change{Verb: PutMarket, Market: "m"}, refusal.Invalid},
		{Change{ID: "x", Verb: "fly", Market: "m0"}, refusal.Invalid},
		{Change{ID: "x", Verb: PutMarket, Market: "Not A Name"}, refusal.Invalid},
		{Change{ID: "x", Verb: PutService, Market: "m0"}, refusal.Invalid},
		{Change{ID: "x", Verb: PutService, Market: "m0", Service: svc(func(s *Service) { s.PathPrefix = "" })}, refusal.Invalid},
		{Change{ID: "x", Verb: PutService, Market: "m0", Service: svc(func(s *Service) { s.TimeoutMS = 0 })}, refusal.Invalid},
		{Change{ID: "x", Verb: PutService, Market: "m0", Service: svc(func(s *Service) { s.MilliCPU = -1 })}, refusal.Invalid},
		{Change{ID: "x", Verb: PutService, Market: "nope", Service: svc(func(*Service) {})}, refusal.NotFound},
		{Change{ID: "x", Verb: PutJob, Market: "m0", Job: job(func(*Job) {})}, refusal.NotFound},
		{Change{ID: "x", Verb: PutJob, Market: "m0", Job: job(func(j *Job) { j.MilliCPU = 0 })}, refusal.Invalid},
		{Change{ID: "x", Verb: PutJob, Market: "m0", Job: job(func(j *Job) { j.Class = "odd" })}, refusal.Invalid},
		{Change{ID: "x", Verb: PutPreset, Market: "m0", Preset: &Preset{Name: "p", MaxSlowdown: 0.5}}, refusal.Invalid},
		{Change{ID: "x", Verb: PutPreset, Market: "m0", Preset: &Preset{Name: "p", MaxSlowdown: 1, TailWeight: 2}}, refusal.Invalid},
		{Change{ID: "x", Verb: UsePreset, Market: "m0", Name: "nope"}, refusal.NotFound},
		{Change{ID: "x", Verb: RetireTeam, Name: "nope"}, refusal.NotFound},
	}
	s, o := seeded()
	for _, c := range cases {
		c.change.Base = o.markets[c.change.Market]
		_, err := s.Apply(c.change)
		e, ok := refusal.Of(err)
		if !ok || e.Code != c.code || e.Remedy == "" {
			t.Errorf("%+v: got %v, want %s with a remedy", c.change, err, c.code)
		}
	}
	if s.Revision != o.revision {
		t.Errorf("refused changes moved the revision to %d", s.Revision)
	}
}
