// Package queues holds the operator's configuration of the queues to which callers submit jobs. A
// configuration is one complete version. The highest committed version is in force; a lower one
// never replaces it.
package queues

import (
	"slices"
	"strings"

	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// Queue takes callers' jobs for one service.
type Queue struct {
	Name string `msgpack:"n" json:"name"`
	// Host and Prefix select the queue for a request. The longest matching prefix wins.
	Host    string `msgpack:"h" json:"host"`
	Prefix  string `msgpack:"p" json:"prefix"`
	Service string `msgpack:"s" json:"service"`
	// TimeoutMS bounds a caller's request, in milliseconds.
	TimeoutMS int64 `msgpack:"t" json:"timeout_ms"`
	// TargetMS and Slack define a job's latency objective: Slack times its longest chain of
	// work, plus TargetMS.
	TargetMS int64   `msgpack:"a" json:"target_ms"`
	Slack    float64 `msgpack:"k" json:"slack"`
	// Priority orders the queues; 0 is served first.
	Priority int `msgpack:"r" json:"priority"`
	// MaxAttempts is the number of failed attempts of a task or gang at which its job fails; 0
	// is no limit.
	MaxAttempts int `msgpack:"m" json:"max_attempts"`
	// Advice is set if only the advisor knows which workers may run a step.
	Advice *Advice `msgpack:"v,omitempty" json:"advice,omitempty"`
}

// Advice describes how the advisor of a queue answers.
type Advice struct {
	// DecisionMS is the time that an answer takes, and PerWorkerMS the additional time for each
	// worker that the question names, both in milliseconds.
	DecisionMS  float64 `msgpack:"d" json:"decision_ms"`
	PerWorkerMS float64 `msgpack:"w" json:"per_worker_ms"`
	// ValidMS is the validity of a ticket, in milliseconds.
	ValidMS int64 `msgpack:"v" json:"valid_ms"`
}

// AnswerMS returns the time that an answer about a number of workers takes, in milliseconds.
func (a *Advice) AnswerMS(workers int) float64 { return a.DecisionMS + float64(workers)*a.PerWorkerMS }

// Service is a pool of workers.
type Service struct {
	Name string `msgpack:"n" json:"name"`
	// RejectsOverload is set if the service's workers reject tasks that do not fit.
	RejectsOverload bool `msgpack:"g" json:"guards"`
	// Standby is set if the pool's machines are switched off and incur no cost.
	Standby bool `msgpack:"b,omitempty" json:"standby,omitempty"`
}

// Limits bounds callers' calls; 0 leaves a limit to the entries.
type Limits struct {
	HeaderBytes int `msgpack:"h,omitempty" json:"header_bytes,omitempty"`
	BodyBytes   int `msgpack:"b,omitempty" json:"body_bytes,omitempty"`
	// HeaderMS is the time in milliseconds in which a caller has to send a call's head, and IdleMS
	// the time between two calls on a connection.
	HeaderMS int64 `msgpack:"t,omitempty" json:"header_ms,omitempty"`
	IdleMS   int64 `msgpack:"i,omitempty" json:"idle_ms,omitempty"`
}

// Config is one version of the configuration. It is immutable.
type Config struct {
	Version  uint64    `msgpack:"v" json:"version"`
	Queues   []Queue   `msgpack:"q" json:"queues"`
	Services []Service `msgpack:"s" json:"services"`
	// Limits bounds the calls of callers.
	Limits Limits `msgpack:"l,omitempty" json:"limits,omitzero"`
	// Source is the document as the operator sent it. Readers get it back unchanged.
	Source []byte `msgpack:"d" json:"-"`
}

// Validate returns an error if the configuration is unusable.
func (c *Config) Validate() error {
	if c.Version == 0 {
		return invalid("give the configuration a version of 1 or more", "the version is missing")
	}
	if l := c.Limits; min(int64(l.HeaderBytes), int64(l.BodyBytes), l.HeaderMS, l.IdleMS) < 0 {
		return invalid("give limits above 0, or leave them out", "a limit is negative: %+v", l)
	}
	services := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		if s.Name == "" || services[s.Name] {
			return invalid("give each service a name of its own", "service %q has no name or is listed twice", s.Name)
		}
		services[s.Name] = true
	}
	type place struct{ host, prefix string }
	places := make(map[place]string, len(c.Queues))
	for _, q := range c.Queues {
		if err := q.validate(services); err != nil {
			return err
		}
		at := place{q.Host, q.Prefix}
		if other, taken := places[at]; taken {
			return invalid("give each queue a host and prefix of its own", "queues %q and %q share %s%s", other, q.Name, q.Host, q.Prefix)
		}
		places[at] = q.Name
	}
	return nil
}

func (q *Queue) validate(services map[string]bool) error {
	switch {
	case !services[q.Service]:
		return invalid("list the service, or correct the queue's", "queue %q names the unknown service %q", q.Name, q.Service)
	case q.TimeoutMS <= 0:
		return invalid("give a time-out above 0 ms", "queue %q has the time-out %d ms", q.Name, q.TimeoutMS)
	case !strings.HasPrefix(q.Prefix, "/"):
		return invalid("begin the prefix with a slash", "queue %q has the prefix %q", q.Name, q.Prefix)
	case q.Advice != nil && (q.Advice.DecisionMS < 0 || q.Advice.PerWorkerMS < 0 || q.Advice.ValidMS <= 0):
		return invalid("give the advice times of 0 ms or more, and a validity above 0 ms", "queue %q has the advice %+v", q.Name, *q.Advice)
	}
	return nil
}

func invalid(remedy, format string, args ...any) error {
	return refusal.New(refusal.Invalid, remedy, format, args...)
}

// Match returns the queue for a host and path, and the rest of the path after the queue's prefix.
// The queue is nil if none matches.
func (c *Config) Match(host, path string) (q *Queue, rest string) {
	for i := range c.Queues {
		k := &c.Queues[i]
		if k.Host == host && strings.HasPrefix(path, k.Prefix) && (q == nil || len(k.Prefix) > len(q.Prefix)) {
			q = k
		}
	}
	if q == nil {
		return nil, ""
	}
	return q, path[len(q.Prefix):]
}

// Advised reports whether any queue needs the advisor.
func (c *Config) Advised() bool {
	return slices.ContainsFunc(c.Queues, func(q Queue) bool { return q.Advice != nil })
}

// At returns the queue with exactly this host and prefix, or nil.
func (c *Config) At(host, prefix string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Host == host && c.Queues[i].Prefix == prefix {
			return &c.Queues[i]
		}
	}
	return nil
}

// State is the replicated state: the configuration in force.
type State struct {
	Config Config `msgpack:"c"`
}

// HasService reports whether the configuration lists a service. Before the first configuration it
// returns true for every name, since any of them may still be listed.
func (s *State) HasService(service string) bool {
	if s.Config.Version == 0 {
		return true
	}
	for _, x := range s.Config.Services {
		if x.Name == service {
			return true
		}
	}
	return false
}

// Apply puts a configuration in force if its version is higher than the present one. It is
// idempotent: any other version changes nothing, whatever its content, so that a delayed copy
// cannot undo a newer change.
func (s *State) Apply(c Config) (changed bool) {
	if c.Version <= s.Config.Version {
		return false
	}
	s.Config = c
	return true
}
