package dispatch

import (
	"maps"
	"slices"
	"testing"

	"github.com/waxwinghaven/waxwinghaven/datacentre"
	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// assignDataCentres assigns the workers to data centres in turn.
func (s *harness) assignDataCentres(names ...string) {
	for i, id := range slices.Sorted(maps.Keys(s.Workers)) {
		w := *s.Workers[id]
		w.DataCentre = names[i%len(names)]
		s.index++
		s.ApplyRegister(w, s.index)
	}
	delete(s.ServiceDataCentres, "vault")
	s.Rebuild()
	s.in.DataCentres = datacentre.NewState()
}

func (s *harness) order(name string, phase datacentre.Phase) {
	s.t.Helper()
	s.index++
	if _, err := s.in.DataCentres.Apply(datacentre.Order{Name: name, Phase: phase, Base: s.in.DataCentres.Of(name).Revision}, s.index); err != nil {
		s.t.Fatal(err)
	}
}

func (s *harness) workersOf(job string) map[string]int {
	out := make(map[string]int)
	for _, t := range s.Jobs[job].Group(0, 0).Tasks {
		if t.Placed != nil {
			out[t.Placed.Worker]++
		}
	}
	return out
}

// An operator cordons a data centre with an empty worker while the other is nearly full. No task
// may start there, and its standing and filling tasks continue. Once it is back in service the
// waiting task is placed there.
func TestNothingBeginsInACordonedDataCentre(t *testing.T) {
	s := newHarness(t, 2)
	s.assignDataCentres("hall-a", "hall-b")
	first := s.submit(1, "/titles/", 0, serving(2, 6000, "watch"))
	s.pass()
	if got := s.workersOf(first); got["w0"] != 1 || got["w1"] != 1 {
		t.Fatalf("the test needs a task on each worker, they are on %v", got)
	}
	s.order("hall-a", datacentre.Cordoned)
	fits, waits := s.submit(2, "/titles/", 0, task(1, 3000, 100)), s.submit(3, "/titles/", 0, task(1, 3000, 100))
	s.pass()
	if got := s.workersOf(fits); got["w1"] != 1 {
		t.Errorf("the task that fits elsewhere is on %v", got)
	}
	if got := s.workersOf(waits); len(got) != 0 {
		t.Errorf("the task that fits nowhere else is on %v", got)
	}
	if plan := Plan(s.in); len(plan.Stops) != 0 {
		t.Errorf("%d runs were stopped", len(plan.Stops))
	}
	s.order("hall-a", datacentre.InService)
	s.pass()
	if got := s.workersOf(waits); got["w0"] != 1 {
		t.Errorf("with the data centre back in service the task is on %v", got)
	}
}

// A plan is computed from a snapshot in which the data centre is in service, and applied after
// the order that cordons it. None of its placements there may be applied, neither of a gang's
// members nor of single tasks.
func TestStalePlanPlacesNothingAfterCordon(t *testing.T) {
	s := newHarness(t, 2)
	s.assignDataCentres("hall-a", "hall-b")
	gang := task(2, 6000, 100)
	gang.Gang = true
	together, single := s.submit(1, "/titles/", 0, gang), s.submit(2, "/titles/", 0, task(4, 2000, 100))
	plan := Plan(s.in)
	s.order("hall-a", datacentre.Cordoned)
	cordoned := rules
	cordoned.Cordoned = s.in.DataCentres.Cordoned
	s.index++
	s.ApplyPlan(plan, cordoned, s.index)
	if got := s.workersOf(together); len(got) != 0 {
		t.Errorf("the gang is on %v", got)
	}
	if got := s.workersOf(single); got["w0"] != 0 || got["w1"] == 0 {
		t.Errorf("the single tasks are on %v", got)
	}
}

// An operator drains a data centre. Standing tasks move as capacity and their caller allow, here
// one at a time; filling tasks end by themselves; and a standing task whose label exists in no
// other data centre keeps running until it ends.
func TestStandingTasksLeaveADrainedDataCentre(t *testing.T) {
	s := newHarness(t, 2)
	s.assignDataCentres("hall-a", "hall-b")
	only := serving(1, 1000, "local")
	only.Label = "r0"
	stays := s.submit(1, "/titles/", 0, only)
	near := withMaxUnavailable(serving(2, 2000, "watch"), 1)
	near.PreferredRack = "r0"
	leaves := s.submit(2, "/titles/", 0, near)
	s.pass()
	if got := s.workersOf(leaves); got["w0"] != 2 {
		t.Fatalf("the test needs both tasks in one data centre, they are on %v", got)
	}
	fill := filling(1, 500, 1000, "light")
	fill.Label = "r0"
	render := s.submit(3, "/renders/", 0, fill)
	s.pass()
	s.order("hall-a", datacentre.Draining)
	s.in.NowMS += 2 * settleTime.Milliseconds()
	plan := Plan(s.in)
	if len(plan.Stops) != 1 || plan.Stops[0].Task.Job != leaves {
		t.Fatalf("stopped runs: %+v", plan.Stops)
	}
	s.index++
	s.ApplyPlan(plan, rules, s.index)
	st := plan.Stops[0]
	s.ApplyEnd("w0", jobs.End{Task: st.Task, Run: st.Run, Outcome: jobs.OutcomeStopped}, rules, s.index)
	s.pass()
	if got := s.workersOf(leaves); got["w0"] != 1 || got["w1"] != 1 {
		t.Errorf("after one move the tasks are on %v", got)
	}
	if s.workersOf(stays)["w0"] != 1 || s.workersOf(render)["w0"] != 1 {
		t.Error("a task that fits nowhere else, or a filling task, was moved")
	}
}

// A caller submits a job while every data centre with a worker for it is out of service. It must
// be refused immediately with a time to retry: accepted, it would wait until the maintenance of
// the data centres ends. If one is in service the job is accepted.
func TestJobIsRefusedWhileAllDataCentresAreOut(t *testing.T) {
	s := newHarness(t, 2)
	s.assignDataCentres("hall-a", "hall-b")
	spec := &jobs.Spec{Steps: []jobs.Step{task(1, 100, 100)}}
	s.order("hall-a", datacentre.Cordoned)
	if v := Admit(s.in, &config.Queues[0], spec); v.Refuse {
		t.Errorf("with one data centre left: %s", v.Reason())
	}
	s.order("hall-b", datacentre.Draining)
	v := Admit(s.in, &config.Queues[0], spec)
	if !v.Refuse || v.RetryAfter <= 0 {
		t.Errorf("with none left: %+v", v)
	}
	s.order("hall-b", datacentre.InService)
	delete(s.Workers, "w1")
	if v := Admit(s.in, &config.Queues[0], spec); v.Refuse {
		t.Errorf("while the worker of the remaining data centre restarts: %s", v.Reason())
	}
}

// Guards against admission counting the capacity of data centres that are out of service.
func TestAdmissionCountsOnlyRoomInService(t *testing.T) {
	s := newHarness(t, 2)
	s.assignDataCentres("hall-a", "hall-b")
	standing := &jobs.Spec{Steps: []jobs.Step{serving(2, 5000, "watch")}}
	if v := Admit(s.in, &config.Queues[0], standing); v.Refuse {
		t.Fatalf("with both data centres: %s", v.Reason())
	}
	s.order("hall-a", datacentre.Cordoned)
	if v := Admit(s.in, &config.Queues[0], standing); !v.Refuse {
		t.Error("more standing tasks are accepted than the data centre in service may hold")
	}
}
