package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// cloud is a stand-in for the platform's interface for machines.
type cloud struct {
	r *rig
	h *history

	mu       sync.Mutex
	machines []*machine
	tokens   map[string]uint64 // highest fencing token, by machine
}

type machine struct {
	name, state string
	worker      *worker // nil while it has none
	kept        bool    // the worker is gone and isn't replaced
}

func startCloud(r *rig, h *history, workers []*worker) (*cloud, error) {
	c := &cloud{r: r, h: h, tokens: make(map[string]uint64)}
	for _, w := range workers {
		c.machines = append(c.machines, &machine{name: w.name, state: "up", worker: w})
	}
	ln, err := net.Listen("tcp4", r.addr(cloudNumber, portCloud))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errCouldNotRun, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /waxwinghaven/machines", c.list)
	mux.HandleFunc("POST /waxwinghaven/machine-move", c.order(func(m *machine, q *machineOrder) (string, time.Duration, string) {
		return "moving", migration, q.Pool
	}))
	mux.HandleFunc("POST /waxwinghaven/machine-upkeep", c.order(func(m *machine, _ *machineOrder) (string, time.Duration, string) {
		return "upkeep", maintenance, m.worker.service
	}))
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(ln) }()
	return c, nil
}

type machineOrder struct {
	Machine, Pool string
	Wave          uint64
}

func (c *cloud) list(out http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := []any{}
	for i, m := range c.machines {
		list = append(list, map[string]any{"Machine": m.name, "Pool": m.worker.service, "State": m.state, "Zone": "hall-a", "Labels": []string{"a", fmt.Sprintf("r1-%d", i/3)},
			"Capacity": map[string]any{"Cpu": workerCPU, "MemMb": workerMem, "Gpu": 0}, "Id": m.worker.id})
	}
	write(out, http.StatusOK, map[string]any{"Machines": list, "NextPageToken": ""})
}

func (c *cloud) order(what func(*machine, *machineOrder) (state string, lasts time.Duration, pool string)) http.HandlerFunc {
	return func(out http.ResponseWriter, in *http.Request) {
		var q machineOrder
		if err := json.NewDecoder(in.Body).Decode(&q); err != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		token, _ := strconv.ParseUint(in.Header.Get("Fencing-Token"), 10, 64)
		c.mu.Lock()
		defer c.mu.Unlock()
		refuse := func(reason string) {
			c.r.note("platform: %s %s refused: %s", in.URL.Path, q.Machine, reason)
			write(out, http.StatusConflict, map[string]any{"Reason": reason})
		}
		for i, m := range c.machines {
			if m.name != q.Machine {
				continue
			}
			if token < c.tokens[m.name] {
				refuse("fence")
				return
			}
			c.tokens[m.name] = token
			if m.state != "up" || m.kept {
				refuse("busy")
				return
			}
			state, lasts, pool := what(m, &q)
			c.r.note("platform: %s %s %s from %s with token %d", in.URL.Path, q.Machine, q.Pool, in.Header.Get("Lease-Holder"), token)
			m.state = state
			m.worker.end(howOrder, state)
			time.AfterFunc(lasts, func() { c.restart(i, m, pool) })
			write(out, http.StatusOK, map[string]any{})
			return
		}
		out.WriteHeader(http.StatusBadRequest)
	}
}

func (c *cloud) restart(i int, m *machine, pool string) {
	w, err := startWorker(c.r, c.h, i, pool, "a", nil)
	if err != nil {
		c.r.note("platform: %v", err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	m.worker, m.state = w, "up"
}

// end ends all workers.
func (c *cloud) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		m.worker.end(howGone, "the case has ended")
	}
}

// startFleet starts the system with a platform and workers.
func startFleet(r *rig, n int) (*cloud, *history, error) {
	if err := r.startSystem(n, config(1)); err != nil {
		return nil, nil, err
	}
	h := &history{}
	var all []*worker
	for i := range n {
		w, err := startWorker(r, h, i, service, "a", nil)
		if err != nil {
			return nil, nil, err
		}
		all = append(all, w)
	}
	c, err := startCloud(r, h, all)
	time.Sleep(4 * time.Second)
	return c, h, err
}

// startStanding hands in jobs of tasks that last, of which one may be away at a time, and waits until all
// have been at work for a while.
func startStanding(r *rig, h *history, jobs, tasks, cpu int) (ids []string, err error) {
	for range jobs {
		id := newID()
		job := map[string]any{"Spec": fmt.Sprintf("lasts=1&cpu=%d&mem=20000", cpu),
			"Phases": []any{map[string]any{"Count": tasks, "Cpu": cpu, "MemMb": 20000, "LongRunning": true, "MaxUnavailable": 1}}}
		if err := r.submit(watchPrefix, id, job); err != nil {
			return nil, err
		}
		ids = append(ids, id)
	}
	atWork := func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, id := range ids {
			if len(h.absent(id+".0.0", tasks, time.Now())) > 0 {
				return false
			}
		}
		return true
	}
	if !await(10*time.Second, atWork) {
		return nil, fmt.Errorf("%w: the tasks are not at work", errCouldNotRun)
	}
	time.Sleep(6 * time.Second)
	return ids, nil
}

// move asks for the move of a machine into another pool, as an operator does through the project's own
// interface.
func (r *rig) move(machine string) int {
	for range 10 {
		for i := range controls {
			status, answer, err := call(http.MethodPost, "http://"+r.addr(firstControl+i, portInternal2)+"/v1/machine-moves", "", map[string]any{"machine": machine, "pool": otherPool}, 3*time.Second, nil)
			r.note("operator: move %s: %d %s %v", machine, status, answer, err)
			if err == nil && (status == http.StatusOK || status == http.StatusConflict) {
				return status
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	return 0
}

// twoMoves has two machines moved one after the other; tasks of one step run on both. Without the
// disruption the second operator waits until all tasks are at work again.
func twoMoves(r *rig) (breaks []string, err error) {
	const workers, tasks = 8, 5
	c, h, err := startFleet(r, workers)
	if err != nil {
		return nil, err
	}
	defer c.end()
	ids, err := startStanding(r, h, 1, tasks, 13_000)
	if err != nil {
		return nil, err
	}
	var on []string
	c.mu.Lock()
	for _, m := range c.machines {
		if m.worker.count(ids[0]) > 0 {
			on = append(on, m.name)
		}
	}
	c.mu.Unlock()
	if status := r.move(on[0]); status != http.StatusOK {
		return nil, fmt.Errorf("%w: the first move was answered with %d", errCouldNotRun, status)
	}
	if !r.trouble {
		time.Sleep(12 * time.Second)
	}
	r.move(on[1])
	time.Sleep(8 * time.Second)
	return h.orderedAway(ids[0]+".0.0", tasks, 1), nil
}

// startWave asks for a wave of upkeep.
func (r *rig) startWave(number int, machines []string, atOnce int, lasts time.Duration) error {
	body := map[string]any{"Wave": number, "Machines": machines, "DurationS": lasts.Seconds(), "MaxConcurrency": atOnce}
	for range 20 {
		for i := range controls {
			status, _, err := call(http.MethodPost, "http://"+r.addr(firstControl+i, portControl)+"/waxwinghaven/wave-start", "", body, time.Second, nil)
			r.note("operator: wave-start %d %v: %d %v", number, machines, status, err)
			if err == nil && status == http.StatusOK {
				return nil
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("%w: the wave was not acknowledged", errCouldNotRun)
}

// cancelsInAWave has some jobs cancelled while the first machine of a wave is down. With the room that
// they leave, the leader moves a task off the second machine, though its sister on the first one is away.
func cancelsInAWave(r *rig) (breaks []string, err error) {
	const (
		workers, tasks     = 8, 6
		cpu                = 9_000
		fillers, cancelled = 17, 4
		waveLasts          = 8 * time.Second
	)
	c, h, err := startFleet(r, workers)
	if err != nil {
		return nil, err
	}
	defer c.end()
	ids, err := startStanding(r, h, 1, tasks, cpu)
	if err != nil {
		return nil, err
	}
	var others []string
	for range fillers {
		id := newID()
		job := map[string]any{"Spec": "ms=100000&cpu=9000&mem=6000", "Phases": []any{map[string]any{"Count": 3, "Cpu": 9000, "MemMb": 6000, "EstimatedMs": 100000}}}
		if err := r.submit(batchPrefix, id, job); err != nil {
			return nil, err
		}
		others = append(others, id)
	}
	time.Sleep(3 * time.Second)
	var names []string
	c.mu.Lock()
	for _, m := range c.machines {
		if m.worker.count(ids[0]) > 0 && len(names) < 2 {
			names = append([]string{m.name}, names...)
		}
	}
	c.mu.Unlock()
	// The machine whose worker has the higher id is named first.
	if err := r.startWave(1, names, 2, waveLasts); err != nil {
		return nil, err
	}
	if !await(20*time.Second, func() bool { return h.countEnds(ids[0], howOrder) > 0 }) {
		return nil, fmt.Errorf("%w: no upkeep has begun", errCouldNotRun)
	}
	if r.trouble {
		time.Sleep(300 * time.Millisecond)
		for _, id := range others[:cancelled] {
			status, _, err := call(http.MethodDelete, "http://"+r.addr(firstEntry, portCallers)+batchPrefix+id, callerHost, nil, 3*time.Second, map[string]string{"Deadline-Ms": "3000"})
			r.note("client: DELETE %s%s: %d %v", batchPrefix, id, status, err)
		}
	}
	time.Sleep(15 * time.Second)
	return h.orderedAway(ids[0]+".0.0", tasks, 1), nil
}
