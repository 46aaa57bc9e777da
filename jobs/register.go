package jobs

import (
	"maps"

	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// Registered is what a registration did.
type Registered struct {
	Worker Worker // with its fencing token
	// Replaced is the incarnation that stood there before, "" for none, and Void the
	// runs that ended with it.
	Replaced string
	Void     int
}

// Outdated reports why a registration comes too late: a session that began after it has
// registered, or its own was lost. A session whose worker was lost knows of runs that are void;
// registered again, it would start them, or keep them at work. An update is a session's second
// registration or a later one, whatever its token: sessions go on to higher ones.
func (s *State) Outdated(w *Worker, update bool) error {
	if now := s.byAgent[w.Agent]; now != nil && now.Life == w.Life {
		return nil // an update, or the same told again
	}
	if !update && (w.Token == 0 || s.Tokens[w.Agent] < w.Token) {
		return nil
	}
	return refusal.New(refusal.NotRegistered, "register the worker again with a newer token",
		"worker %s comes with token %d, and agent %s has registered with %d before", w.ID, w.Token, w.Agent, s.Tokens[w.Agent])
}

// ApplyRegister takes in an agent's announcement of its worker and returns the
// worker with its fencing token. Each session of the agent has a higher one, which
// makes the worker refuse what older sessions still have under way.
func (s *State) ApplyRegister(w Worker, index uint64) Registered {
	var done Registered
	if old := s.byAgent[w.Agent]; old != nil && old.ID != w.ID {
		// Another incarnation stands at the agent's address: what the old
		// one ran ended with it.
		done.Replaced, done.Void = old.ID, s.loseWorker(old.ID)
	}
	old := s.Workers[w.ID]
	if old != nil {
		w.LentLate = w.LentLate && old.LentLate
	} else if s.Tokens[w.Agent] == 0 {
		w.LentLate = false // nothing was sent to any start of it before
	}
	w.Registered = index
	if w.Token == 0 {
		w.Token = index
	}
	s.noteToken(&w)
	s.forgetTokens(index)
	if old != nil && old.Life == w.Life {
		w.Token = old.Token
		w.Draining = w.Draining || old.Draining
	}
	s.Workers[w.ID] = &w
	s.byAgent[w.Agent] = &w
	s.noteStood(&w)
	s.witnessed(w.Agent)
	done.Worker = w
	return done
}

// noteToken keeps the highest token with which an agent has registered, and the worker.
func (s *State) noteToken(w *Worker) {
	s.Tokens[w.Agent] = max(s.Tokens[w.Agent], w.Token)
	s.Beside[w.Agent] = w.ID
}

const (
	// sparedTokens are the agents without a worker whose tokens are kept whatever their age.
	sparedTokens = 1000
	// tokenAge is the entries of the log after which nothing of an agent's session is on its
	// way any more: hours at the size designed for.
	tokenAge = 10_000_000
)

// forgetTokens drops the tokens of agents that are long gone: instances are replaced under new
// names, and without it the map would grow for ever.
func (s *State) forgetTokens(index uint64) {
	if len(s.Tokens) <= len(s.byAgent)+sparedTokens {
		return
	}
	maps.DeleteFunc(s.Tokens, func(agent string, token uint64) bool {
		return s.byAgent[agent] == nil && token+tokenAge < index
	})
	maps.DeleteFunc(s.Beside, func(agent, _ string) bool { return s.Tokens[agent] == 0 })
}

// IsRegistered reports whether a worker is registered as it was then.
func (s *State) IsRegistered(l Loss) bool {
	w := s.Workers[l.Worker]
	return w != nil && w.Registered == l.Registered
}

// ApplyLost drops workers whose lease has certainly ended, and returns how many runs
// that made void. One that registered again after that was decided stays: its agent may
// have been given a new lease on that, and its runs would be started elsewhere while
// they go on.
func (s *State) ApplyLost(losses []Loss) (void int) {
	for _, l := range losses {
		if s.IsRegistered(l) {
			void += s.loseWorker(l.Worker)
		}
	}
	return void
}

// loseWorker drops a worker with its runs, and returns how many there were.
func (s *State) loseWorker(id string) (void int) {
	w := s.Workers[id]
	if w == nil {
		return 0
	}
	if u := s.use[id]; u != nil {
		refs := sortedRefs(u.Runs)
		for _, ref := range refs {
			s.vacate(ref, u.Runs[ref], id)
			s.awaitWitness(s.group(ref), ref.Index, w.Agent)
		}
		void = len(refs)
	}
	delete(s.Workers, id)
	if s.byAgent[w.Agent] == w {
		delete(s.byAgent, w.Agent)
	}
	return void
}
