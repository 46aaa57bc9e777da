package main

import (
	"fmt"
	"net/http"
	"time"
)

// Times of the rule LOST for tasks that last.
const (
	idleTime = 3 * time.Second // for which nothing of a job runs
	calmTime = 4 * time.Second // before, without a disruption
)

// blamedWorkers hands in two jobs that can never be done, one after the other, and, once the second is
// shown as failed, a job that lasts. All need workers of a kind of which there are two.
func blamedWorkers(r *rig) (breaks []string, err error) {
	const workers, ofKind, hopelessJobs = 8, 2, 2
	if err := r.startSystem(workers, config(1)); err != nil {
		return nil, err
	}
	h := &history{}
	var all []*worker
	for i := range workers {
		kind := "a"
		if i < ofKind {
			kind = "b"
		}
		w, err := startWorker(r, h, i, service, kind, nil)
		if err != nil {
			return nil, err
		}
		defer w.end(howGone, "the case has ended")
		all = append(all, w)
	}
	time.Sleep(4 * time.Second)
	calmSince := time.Now()
	if r.trouble {
		for range hopelessJobs {
			if calmSince, err = r.hopeless(); err != nil {
				return nil, err
			}
		}
	}
	id := newID()
	job := map[string]any{"Spec": "lasts=1&cpu=13000&mem=26000", "Phases": []any{map[string]any{"Count": 1, "Cpu": 13000, "MemMb": 26000, "LongRunning": true, "RequiredLabel": "b"}}}
	if err := r.submit(watchPrefix, id, job); err != nil {
		return nil, err
	}
	accepted := time.Now()
	if !await(25*time.Second, func() bool { return h.begun(id) }) {
		r.note("the task has not begun at all")
	}
	waited, calm := time.Since(accepted), time.Since(calmSince)
	r.note("the task of the job that lasts waited for %d ms, %d ms after the last disruption", waited.Milliseconds(), calm.Milliseconds())
	for _, w := range all[:ofKind] {
		w.mu.Lock()
		cpu, mem := w.used()
		r.note("worker %s of the kind: %d of %d thousandths of a core and %d of %d MB in use, the task's included", w.id, cpu, w.cpu, mem, w.mem)
		w.mu.Unlock()
	}
	if waited >= idleTime && calm >= calmTime+idleTime {
		breaks = append(breaks, fmt.Sprintf("LOST: nothing of the job %s, which lasts, ran for %d ms, though two idle workers of its kind had room for it, and for %d ms there had been no disruption",
			id, waited.Milliseconds(), calm.Milliseconds()))
	}
	return breaks, nil
}

// hopeless hands in a job whose tasks always fail, and waits until it is shown as failed.
func (r *rig) hopeless() (failed time.Time, err error) {
	id := newID()
	job := map[string]any{"Spec": "ms=300&fails=1&cpu=1000&mem=1000", "Phases": []any{map[string]any{"Count": 8, "Cpu": 1000, "MemMb": 1000, "EstimatedMs": 300, "RequiredLabel": "b"}}}
	if err := r.submit(batchPrefix, id, job); err != nil {
		return time.Time{}, err
	}
	shown := ""
	if !await(45*time.Second, func() bool {
		status, answer, err := call(http.MethodGet, "http://"+r.addr(firstEntry, portCallers)+batchPrefix+id, callerHost, nil, 3*time.Second, map[string]string{"Deadline-Ms": "3000"})
		if now := fmt.Sprintf("%d %s", status, answer); err == nil && now != shown {
			shown = now
			r.note("client: GET %s%s: %s", batchPrefix, id, now)
		}
		return shown == `200 {"State":"failed"}`
	}) {
		return time.Time{}, fmt.Errorf("%w: the job that can't be done is not shown as failed", errCouldNotRun)
	}
	return time.Now(), nil
}
