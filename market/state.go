package market

import (
	"hash/fnv"
	"sort"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// MaxKeptAnswers is the greatest number of change ids whose answers are kept: five days at
// 3,900 changes a day. An older change that is sent again is refused because of its base
// revision, so that it does not take effect twice either.
const MaxKeptAnswers = 20_000

// State holds all markets and teams and the answers to recent changes.
type State struct {
	// Revision is the revision of the latest accepted change.
	Revision uint64            `msgpack:"r"`
	Markets  map[string]*View  `msgpack:"m"`
	Teams    Teams             `msgpack:"t"`
	Answers  map[string]answer `msgpack:"a"`
	Order    []string          `msgpack:"o"` // ids of Answers, oldest first
}

// Teams holds all teams, which share one revision. LastChange is the id of the latest change.
type Teams struct {
	Revision   uint64          `msgpack:"r" json:"revision"`
	LastChange string          `msgpack:"w" json:"last_change"`
	ByName     map[string]Team `msgpack:"n" json:"teams"`
}

// answer is the kept answer to an accepted change, with the change's digest.
type answer struct {
	Revision uint64 `msgpack:"r"`
	Digest   uint64 `msgpack:"d"`
}

// NewState returns the empty state.
func NewState() *State {
	return &State{Markets: make(map[string]*View), Teams: Teams{ByName: make(map[string]Team)}, Answers: make(map[string]answer)}
}

// Apply applies a change and returns its revision, or returns a refusal and changes nothing.
//
// A repeated change must be answered before its base is compared, since its first application
// has advanced the revision past its base.
func (s *State) Apply(c Change) (Answer, error) {
	if err := c.Validate(); err != nil {
		return Answer{}, err
	}
	digest := c.digest()
	if a, ok := s.Answers[c.ID]; ok {
		return s.answerRepeated(c, a, digest)
	}
	if err := s.checkBase(c); err != nil {
		return Answer{}, err
	}
	if err := s.change(c); err != nil {
		return Answer{}, err
	}
	s.Revision++
	s.setRevision(c)
	s.storeAnswer(c.ID, answer{s.Revision, digest})
	return Answer{Revision: s.Revision}, nil
}

// digest returns a digest that distinguishes a repeated change from a different one under the
// same id.
func (c Change) digest() uint64 {
	b, err := msgpack.Marshal(&c)
	if err != nil {
		panic(err) // encoding plain strings and numbers can't fail
	}
	h := fnv.New64a()
	h.Write(b)
	return h.Sum64()
}

func (s *State) answerRepeated(c Change, a answer, digest uint64) (Answer, error) {
	if a.Digest != digest {
		return Answer{}, refusal.New(refusal.ChangeReused, "give every new change an id of its own", "change id %q was used for another change", c.ID)
	}
	return Answer{Revision: a.Revision, Repeated: true}, nil
}

func (s *State) checkBase(c Change) error {
	revision, lastChange := s.currentRevision(c)
	if c.Base == revision {
		return nil
	}
	e := refusal.New(refusal.Conflict, "read the present state and send a new change based on it",
		"change %q is based on revision %d, but change %q made it %d", c.ID, c.Base, lastChange, revision)
	e.LastChange, e.Revision = lastChange, revision
	return e
}

// currentRevision returns the revision that a change is compared with, and the change that set
// it: those of the teams or of the change's market.
func (s *State) currentRevision(c Change) (revision uint64, lastChange string) {
	if c.Verb == PutTeam || c.Verb == RetireTeam {
		return s.Teams.Revision, s.Teams.LastChange
	}
	if v := s.Markets[c.Market]; v != nil {
		return v.Revision, v.LastChange
	}
	return 0, ""
}

// setRevision sets the state's revision on the teams or the market that an accepted change
// concerns.
func (s *State) setRevision(c Change) {
	if c.Verb == PutTeam || c.Verb == RetireTeam {
		s.Teams.Revision, s.Teams.LastChange = s.Revision, c.ID
		return
	}
	v := s.Markets[c.Market].clone()
	v.Revision, v.LastChange = s.Revision, c.ID
	s.Markets[c.Market] = v
}

// storeAnswer stores the answer to a change and discards the oldest beyond MaxKeptAnswers.
func (s *State) storeAnswer(id string, a answer) {
	s.Answers[id] = a
	s.Order = append(s.Order, id)
	if len(s.Order) > MaxKeptAnswers {
		delete(s.Answers, s.Order[0])
		s.Order = s.Order[1:]
	}
}

func (s *State) change(c Change) error {
	switch c.Verb {
	case PutTeam:
		s.Teams.ByName[c.Team.Name] = *c.Team
		return nil
	case RetireTeam:
		return s.retireTeam(c.Name)
	case PutMarket:
		s.putMarket(c.Market)
		return nil
	}
	old := s.Markets[c.Market]
	if old == nil || old.Retired {
		return notFound("market", c.Market)
	}
	v := old.clone()
	if err := s.changeView(v, c); err != nil {
		return err
	}
	s.Markets[c.Market] = v
	return nil
}

// changeView changes v, which is a copy of the market's view: readers may still use the
// original.
func (s *State) changeView(v *View, c Change) error {
	switch c.Verb {
	case RetireMarket:
		*v = View{Market: v.Market, Retired: true}
		return nil
	case PutService:
		return s.putService(v, c.Service)
	case RetireService:
		return retire(v.Services, "service", c.Name)
	case PutJob:
		return s.putJob(v, c.Job)
	case RetireJob:
		return retire(v.Jobs, "job", c.Name)
	case PutPreset:
		v.Presets[c.Preset.Name] = c.Preset
		return nil
	case RetirePreset:
		return retirePreset(v, c.Name)
	}
	return usePreset(v, c.Name)
}

func notFound(what, name string) error {
	return refusal.New(refusal.NotFound, "make it first, or check the spelling", "%s %q does not exist", what, name)
}

func retire[T any](m map[string]*T, what, name string) error {
	if m[name] == nil {
		return notFound(what, name)
	}
	delete(m, name)
	return nil
}

func (s *State) putMarket(name string) {
	if v := s.Markets[name]; v != nil && !v.Retired {
		return // the market exists; the change is still accepted
	}
	s.Markets[name] = &View{Market: Market{Name: name}, Services: make(map[string]*Service),
		Jobs: make(map[string]*Job), Presets: make(map[string]*Preset)}
}

// putService refuses a route that another service already has: which of the two got a request
// would depend on the iteration order of a map.
func (s *State) putService(v *View, svc *Service) error {
	for name, other := range s.Markets {
		for _, o := range other.Services {
			same := name == v.Market.Name && o.Name == svc.Name
			if !same && o.Host == svc.Host && o.PathPrefix == svc.PathPrefix {
				return invalid("choose another host or path_prefix", "service %s/%s already has that route", name, o.Name)
			}
		}
	}
	v.Services[svc.Name] = svc
	return nil
}

func (s *State) putJob(v *View, j *Job) error {
	if _, ok := s.Teams.ByName[j.Team]; !ok {
		return notFound("team", j.Team)
	}
	v.Jobs[j.Name] = j
	return nil
}

func (s *State) retireTeam(name string) error {
	if _, ok := s.Teams.ByName[name]; !ok {
		return notFound("team", name)
	}
	for market, v := range s.Markets {
		for _, j := range v.Jobs {
			if j.Team == name {
				return invalid("retire its jobs first", "team %q still has job %s/%s", name, market, j.Name)
			}
		}
	}
	delete(s.Teams.ByName, name)
	return nil
}

func retirePreset(v *View, name string) error {
	if v.InForce == name {
		return invalid("choose another preset first", "preset %q is in force", name)
	}
	return retire(v.Presets, "preset", name)
}

func usePreset(v *View, name string) error {
	if v.Presets[name] == nil {
		return notFound("preset", name)
	}
	v.InForce = name
	return nil
}

// Since returns the markets that changed after a revision, sorted by name.
func (s *State) Since(revision uint64) []*View {
	var out []*View
	for _, v := range s.Markets {
		if v.Revision > revision {
			out = append(out, v)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Market.Name < out[j].Market.Name })
	return out
}
