package main

import (
	"fmt"
	"strings"
	"time"
)

// countEnds counts the ends of a job's runs.
func (h *history) countEnds(job, how string) (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.ends {
		if strings.HasPrefix(e.key.task, job+".") && e.how == how {
			n++
		}
	}
	return n
}

// absence is since when a task that lasts is not at work, and whether an order of the system ended its
// last run.
type absence struct {
	task    string
	since   time.Time
	ordered bool
}

// absent returns the tasks of a step that are not at work at a time, out of so many. The caller holds the
// lock.
func (h *history) absent(step string, tasks int, at time.Time) (out []absence) {
	for i := range tasks {
		task := fmt.Sprintf("%s.%d", step, i)
		a, at := absence{task: task}, at
		working := false
		for _, s := range h.starts {
			if s.key.task != task || s.at.Add(startup).After(at) {
				continue
			}
			working = true
			for _, e := range h.ends {
				if e.key == s.key && !e.at.After(at) {
					working, a.since, a.ordered = false, e.at, e.how == howOrder || e.how == "stopped"
				}
			}
			if working {
				break
			}
		}
		if !working {
			out = append(out, a)
		}
	}
	return out
}

// orderedAway returns the breaks of AVAIL by the orders that ended runs of a step: so many others of
// the step were away then, ended by such an order, or not at work for the notice time for any cause.
func (h *history) orderedAway(step string, tasks, maxUnavailable int) (breaks []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.ends {
		if !strings.HasPrefix(e.key.task, step+".") || (e.how != howOrder && e.how != "stopped") || !h.wasAtWork(e) {
			continue
		}
		var others []string
		for _, a := range h.absent(step, tasks, e.at) {
			if a.task != e.key.task && !a.since.IsZero() && (a.ordered || e.at.Sub(a.since) >= noticeTime) {
				others = append(others, fmt.Sprintf("%s for %d ms (by an order: %v)", a.task, e.at.Sub(a.since).Milliseconds(), a.ordered))
			}
		}
		if len(others) >= maxUnavailable {
			breaks = append(breaks, fmt.Sprintf("AVAIL: an order ended run %d of %s on %s while others of its step were away: %s; at most %d may be",
				e.key.run, e.key.task, e.worker, strings.Join(others, ", "), maxUnavailable))
		}
	}
	return breaks
}

// wasAtWork reports whether a run had been at work before its end. The caller holds the lock.
func (h *history) wasAtWork(e event) bool {
	for _, s := range h.starts {
		if s.key == e.key && e.at.Sub(s.at) >= startup {
			return true
		}
	}
	return false
}
