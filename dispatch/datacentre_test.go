package dispatch

import (
	"maps"
	"slices"
	"testing"

	"github.com/waxwinghaven/waxwinghaven/datacentre"
	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// inCentres puts the scene's workers into data centres, by turns.
func (s *scene) inCentres(names ...string) {
	for i, id := range slices.Sorted(maps.Keys(s.Workers)) {
		w := *s.Workers[id]
		w.DataCentre = names[i%len(names)]
		s.index++
		s.ApplyRegister(w, s.index)
	}
	delete(s.Stood, "vault")
	s.Rebuild()
	s.in.DataCentres = datacentre.NewState()
}

func (s *scene) order(name string, phase datacentre.Phase) {
	s.t.Helper()
	s.index++
	if _, err := s.in.DataCentres.Apply(datacentre.Order{Name: name, Phase: phase, Base: s.in.DataCentres.Of(name).Revision}, s.index); err != nil {
		s.t.Fatal(err)
	}
}

func (s *scene) workersOf(job string) map[string]int {
	out := make(map[string]int)
	for _, t := range s.Jobs[job].Group(0, 0).Tasks {
		if t.Placed != nil {
			out[t.Placed.Worker]++
		}
	}
	return out
}

// An operator cordons a data centre with an empty worker while the other is nearly full.
// Nothing new begins there; what stands there goes on, and so does what fills. Once it is
// back the waiting task goes there.
func TestNothingBeginsInACordonedDataCentre(t *testing.T) {
	s := newScene(t, 2)
	s.inCentres("hall-a", "hall-b")
	first := s.submit(1, "/titles/", 0, serving(2, 6000, "watch"))
	s.pass()
	if got := s.workersOf(first); got["w0"] != 1 || got["w1"] != 1 {
		t.Fatalf("the scene needs a task on each worker, they are on %v", got)
	}
	s.order("hall-a", datacentre.Cordoned)
	fits, waits := s.submit(2, "/titles/", 0, task(1, 3000, 100)), s.submit(3, "/titles/", 0, task(1, 3000, 100))
	s.pass()
	if got := s.workersOf(fits); got["w1"] != 1 {
		t.Errorf("what fits elsewhere is on %v", got)
	}
	if got := s.workersOf(waits); len(got) != 0 {
		t.Errorf("what fits nowhere else is on %v", got)
	}
	if plan := Next(s.in); len(plan.Stops) != 0 {
		t.Errorf("%d runs are stopped", len(plan.Stops))
	}
	s.order("hall-a", datacentre.InService)
	s.pass()
	if got := s.workersOf(waits); got["w0"] != 1 {
		t.Errorf("once the data centre is back the task is on %v", got)
	}
}

// A plan is made from a snapshot in which the data centre is in service, and applied after
// the order that takes it out. None of its placements there may hold, a gang's members as
// little as a copy.
func TestPlanOfBeforeTheOrderPlacesNothingThere(t *testing.T) {
	s := newScene(t, 2)
	s.inCentres("hall-a", "hall-b")
	gang := task(2, 6000, 100)
	gang.Gang = true
	together, single := s.submit(1, "/titles/", 0, gang), s.submit(2, "/titles/", 0, task(4, 2000, 100))
	plan := Next(s.in)
	s.order("hall-a", datacentre.Cordoned)
	cordoned := rules
	cordoned.Cordoned = s.in.DataCentres.Cordoned
	s.index++
	s.ApplyPlan(plan, cordoned, s.index)
	if got := s.workersOf(together); len(got) != 0 {
		t.Errorf("the gang is on %v", got)
	}
	if got := s.workersOf(single); got["w0"] != 0 || got["w1"] == 0 {
		t.Errorf("single tasks are on %v", got)
	}
}

// An operator drains a data centre. Standing tasks move as room and their caller allow, one
// at a time here; what fills ends by itself; and a standing task whose label no other data
// centre has stays at work until it ends.
func TestStandingTasksLeaveADrainedDataCentre(t *testing.T) {
	s := newScene(t, 2)
	s.inCentres("hall-a", "hall-b")
	only := serving(1, 1000, "local")
	only.Label = "r0"
	stays := s.submit(1, "/titles/", 0, only)
	near := bound(serving(2, 2000, "watch"), 1)
	near.PreferredRack = "r0"
	leaves := s.submit(2, "/titles/", 0, near)
	s.pass()
	if got := s.workersOf(leaves); got["w0"] != 2 {
		t.Fatalf("the scene needs both tasks in one data centre, they are on %v", got)
	}
	fill := filling(1, 500, 1000, "light")
	fill.Label = "r0"
	render := s.submit(3, "/renders/", 0, fill)
	s.pass()
	s.order("hall-a", datacentre.Draining)
	s.in.NowMS += 2 * settleTime.Milliseconds()
	plan := Next(s.in)
	if len(plan.Stops) != 1 || plan.Stops[0].Task.Job != leaves {
		t.Fatalf("the stops are %+v", plan.Stops)
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
		t.Error("what can be nowhere else, or fills, was moved")
	}
}

// The caller hands a job in while every data centre with a worker for it is out of service.
// It is told at once when to come back: taken in it would wait for as long as the work on
// the data centres takes. Where one is left the job is taken.
func TestJobIsRefusedWhileAllDataCentresAreOut(t *testing.T) {
	s := newScene(t, 2)
	s.inCentres("hall-a", "hall-b")
	spec := &jobs.Spec{Steps: []jobs.Step{task(1, 100, 100)}}
	s.order("hall-a", datacentre.Cordoned)
	if v := Admit(s.in, &config.Queues[0], spec); v.Refuse {
		t.Errorf("with one data centre left: %s", v.Reason())
	}
	s.order("hall-b", datacentre.Draining)
	v := Admit(s.in, &config.Queues[0], spec)
	if !v.Refuse || v.After <= 0 {
		t.Errorf("with none left: %+v", v)
	}
	s.order("hall-b", datacentre.InService)
	delete(s.Workers, "w1")
	if v := Admit(s.in, &config.Queues[0], spec); v.Refuse {
		t.Errorf("while the worker of the one left restarts: %s", v.Reason())
	}
}

// The room that a promise to a caller counts on is that of the data centres in service.
func TestAdmissionCountsOnlyRoomInService(t *testing.T) {
	s := newScene(t, 2)
	s.inCentres("hall-a", "hall-b")
	standing := &jobs.Spec{Steps: []jobs.Step{serving(2, 5000, "watch")}}
	if v := Admit(s.in, &config.Queues[0], standing); v.Refuse {
		t.Fatalf("with both data centres: %s", v.Reason())
	}
	s.order("hall-a", datacentre.Cordoned)
	if v := Admit(s.in, &config.Queues[0], standing); !v.Refuse {
		t.Error("more standing tasks are taken than the data centre in service may hold")
	}
}
