package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	adviceDecision  = 20 * time.Millisecond // DecisionMs
	advicePerWorker = time.Millisecond      // PerWorkerMs
	ticketValid     = 3 * time.Second       // ValidMs
)

// advisor is the stand-in for the service that knows which workers may run a step. Its policy
// allows all workers. It handles one call at a time.
type advisor struct {
	c    *cluster
	busy sync.Mutex

	mu      sync.Mutex
	tickets map[string]ticket
	asked   map[string]bool // ids of workers, by the step's name and the id
}

type ticket struct {
	step, worker string
	until        time.Time
}

func newAdvisor(c *cluster) *advisor {
	a := &advisor{c: c, tickets: make(map[string]ticket), asked: make(map[string]bool)}
	s := &http.Server{Addr: c.addr(hostPlatform, portAdvisor), Handler: http.HandlerFunc(a.serve)}
	go s.ListenAndServe()
	return a
}

func (a *advisor) serve(rw http.ResponseWriter, r *http.Request) {
	var b struct {
		Step    string
		Workers []string
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil || len(b.Workers) > 100 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	a.busy.Lock()
	defer a.busy.Unlock()
	time.Sleep(adviceDecision + time.Duration(len(b.Workers))*advicePerWorker)
	allowed := [][]string{}
	a.mu.Lock()
	for _, id := range b.Workers {
		name := fmt.Sprintf("t-%d", len(a.tickets)+1)
		a.tickets[name] = ticket{b.Step, id, time.Now().Add(ticketValid)}
		a.asked[b.Step+" "+id] = true
		allowed = append(allowed, []string{id, name})
	}
	a.mu.Unlock()
	a.c.rec.log("advisor", "advise %s about %d workers -> all allowed; %v", b.Step, len(b.Workers), b.Workers)
	write(rw, http.StatusOK, map[string]any{"Allowed": allowed, "ValidMs": ticketValid.Milliseconds()})
}

// admits reports whether a ticket allows a start of a step on a worker now.
func (a *advisor) admits(name string, t taskName, worker string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	k, known := a.tickets[name]
	return known && k.step == fmt.Sprintf("%s.%d.%d", t.job, t.occurrence, t.step) && k.worker == worker && time.Now().Before(k.until)
}

// askedAbout reports whether the advisor was ever asked about a worker for a step.
func (a *advisor) askedAbout(step, worker string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.asked[step+" "+worker]
}
