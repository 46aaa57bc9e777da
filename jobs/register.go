package jobs

import (
	"maps"

	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// Registered is the result of applying a registration.
type Registered struct {
	Worker Worker // with its fencing token
	// Replaced is the agent's previous incarnation, "" for none, and Void the number of runs that
	// ended with it.
	Replaced string
	VoidRuns int
}

// Outdated returns an error if a registration comes too late: a newer session of the agent has
// registered, or the session's own worker was lost. A session whose worker was lost knows runs that
// are void; registered again, it would start them or keep them running. update marks a session's
// second registration or a later one. It is outdated unless its session is the registered one,
// whatever its token, since sessions switch to higher tokens.
func (s *State) Outdated(w *Worker, update bool) error {
	if now := s.byAgent[w.Agent]; now != nil && now.Session == w.Session {
		return nil // an update, or the same registration again
	}
	if !update && (w.Token == 0 || s.Tokens[w.Agent] < w.Token) {
		return nil
	}
	return refusal.New(refusal.NotRegistered, "register the worker again with a newer token",
		"worker %s registers with token %d, but agent %s has already registered with %d", w.ID, w.Token, w.Agent, s.Tokens[w.Agent])
}

// ApplyRegister applies an agent's registration of its worker and returns the worker with its
// fencing token. Each session of the agent has a higher token, which makes the worker refuse calls
// of older sessions that are still in transit.
func (s *State) ApplyRegister(w Worker, index uint64) Registered {
	var done Registered
	if old := s.byAgent[w.Agent]; old != nil && old.ID != w.ID {
		// Another incarnation is at the agent's address: the runs of the old one ended with it.
		done.Replaced, done.VoidRuns = old.ID, s.removeWorker(old.ID)
	}
	old := s.Workers[w.ID]
	if old != nil {
		w.LateLease = w.LateLease && old.LateLease
	} else if s.Tokens[w.Agent] == 0 {
		w.LateLease = false // the agent is new: no earlier incarnation was sent any calls
	}
	w.Registered = index
	if w.Token == 0 {
		w.Token = index
	}
	s.recordToken(&w)
	s.forgetTokens(index)
	if old != nil && old.Session == w.Session {
		w.Token = old.Token
		w.Draining = w.Draining || old.Draining
	}
	s.Workers[w.ID] = &w
	s.byAgent[w.Agent] = &w
	s.recordDataCentre(&w)
	s.stopAwaiting(w.Agent)
	done.Worker = w
	return done
}

// recordToken records the highest token with which an agent has registered, and its worker.
func (s *State) recordToken(w *Worker) {
	s.Tokens[w.Agent] = max(s.Tokens[w.Agent], w.Token)
	s.LastWorkers[w.Agent] = w.ID
}

const (
	// retainedTokens is the number of agents without a worker up to which all tokens are kept,
	// whatever their age.
	retainedTokens = 1000
	// tokenRetention is the number of log entries after which no message of an agent's session is
	// in transit any more: hours of log at the size the system is designed for.
	tokenRetention = 10_000_000
)

// forgetTokens removes the tokens of agents that have had no worker for long. Instances are
// replaced under new names, so without this the map would grow without bound.
func (s *State) forgetTokens(index uint64) {
	if len(s.Tokens) <= len(s.byAgent)+retainedTokens {
		return
	}
	maps.DeleteFunc(s.Tokens, func(agent string, token uint64) bool {
		return s.byAgent[agent] == nil && token+tokenRetention < index
	})
	maps.DeleteFunc(s.LastWorkers, func(agent, _ string) bool { return s.Tokens[agent] == 0 })
}

// IsRegistered reports whether a worker's newest registration is still the one that a loss names.
func (s *State) IsRegistered(l Loss) bool {
	w := s.Workers[l.Worker]
	return w != nil && w.Registered == l.Registered
}

// ApplyLost removes workers whose lease has certainly ended, and returns how many runs became void.
// A worker that registered again after the loss was decided stays: its agent may have been granted
// a new lease, and its runs would be started elsewhere while they continue.
func (s *State) ApplyLost(losses []Loss) (void int) {
	for _, l := range losses {
		if s.IsRegistered(l) {
			void += s.removeWorker(l.Worker)
		}
	}
	return void
}

// removeWorker removes a worker with its runs, and returns how many runs there were.
func (s *State) removeWorker(id string) (void int) {
	w := s.Workers[id]
	if w == nil {
		return 0
	}
	if u := s.use[id]; u != nil {
		refs := sortedRefs(u.Runs)
		for _, ref := range refs {
			s.removeRun(ref, u.Runs[ref], id)
			s.awaitCrashReport(s.group(ref), ref.Index, w.Agent)
		}
		void = len(refs)
	}
	delete(s.Workers, id)
	if s.byAgent[w.Agent] == w {
		delete(s.byAgent, w.Agent)
	}
	return void
}
