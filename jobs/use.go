package jobs

import "github.com/waxwinghaven/waxwinghaven/resource"

// Use is the capacity that the runs on one worker hold. CPU amounts are in thousandths of a
// processor.
type Use struct {
	// Held is the sum of the needs, without the CPU of filling runs.
	Held resource.Vector
	// Filling is the CPU that filling runs would use if it were available.
	Filling int64
	Runs    map[Ref]*Task
	// Serving counts, by image, the runs that have a target for their tail
	// latency, and ServingCPU is the CPU that they hold.
	Serving    map[string]int
	ServingCPU int64
	// StandingCPU is the CPU that standing tasks hold.
	StandingCPU int64
	// Fillers is the CPU that filling runs ask for, by image.
	Fillers map[string]int
}

// Use returns the capacity that is held on a worker.
func (s *State) Use(worker string) Use {
	if u := s.use[worker]; u != nil {
		return *u
	}
	return Use{}
}

// reserve and release keep the derived use of a worker equal to the sum over the runs that hold
// capacity there.
func (s *State) reserve(ref Ref, t *Task, r *Placed) {
	u := s.use[r.Worker]
	if u == nil {
		u = &Use{Runs: make(map[Ref]*Task), Serving: make(map[string]int), Fillers: make(map[string]int)}
		s.use[r.Worker] = u
	}
	st := s.step(ref)
	need, filling := heldBy(st)
	u.Held, u.Filling = u.Held.Add(need), u.Filling+filling
	u.Runs[ref] = t
	u.count(st, 1)
}

func (s *State) release(ref Ref, r *Placed) {
	u := s.use[r.Worker]
	st := s.step(ref)
	need, filling := heldBy(st)
	u.Held, u.Filling = u.Held.Sub(need), u.Filling-filling
	delete(u.Runs, ref)
	u.count(st, -1)
	if len(u.Runs) == 0 {
		delete(s.use, r.Worker)
	}
}

// count adds n runs of a step to the totals by kind and image.
func (u *Use) count(st *Step, n int) {
	var by map[string]int
	if st.Standing {
		u.StandingCPU += int64(n) * st.Need.MilliCPU
	}
	switch {
	case st.TargetMS > 0:
		by = u.Serving
		u.ServingCPU += int64(n) * st.Need.MilliCPU
	case st.Fills:
		by = u.Fillers
		n *= int(st.Need.MilliCPU)
	default:
		return
	}
	if by[st.Image] += n; by[st.Image] == 0 {
		delete(by, st.Image)
	}
}

// Held returns the part of a worker's capacity that a task of the step takes. A filling task takes
// no CPU.
func (st *Step) Held() resource.Vector {
	held, _ := heldBy(st)
	return held
}

// heldBy returns the part of a worker's capacity that a run of a step takes, and the CPU that a
// filling run may use when it is free.
func heldBy(st *Step) (held resource.Vector, filling int64) {
	if st.Fills {
		n := st.Need
		n.MilliCPU = 0
		return n, st.Need.MilliCPU
	}
	return st.Need, 0
}
