package control

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/waxwinghaven/waxwinghaven/claim"
	"github.com/waxwinghaven/waxwinghaven/lease"
	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// Guards against state that is missing in a snapshot, from which replicas are restored. Without
// the record of submissions, for example, a submission that is resent after a restart would run
// its tasks twice.
func TestSnapshotHoldsTheWholeState(t *testing.T) {
	_, s := newLoadedLeader(t, 5, 20)
	index := s.Index
	for _, c := range []Command{
		{Submit: &lease.Submit{ID: "kept", Market: "m", Job: "j1", Count: 2, IssuedMS: 1_000_000}},
		{Cancel: &lease.Cancel{Market: "m", Tasks: []string{"kept/1"}}},
		{Claim: &claim.Claim{Key: claim.MakeKey("m", "s", "k"), Body: 7, Token: "e1"}},
		{Claim: &claim.Claim{Key: claim.MakeKey("m", "s", "k2"), Body: 7, Token: "e1"}},
		{Settle: &claim.Settle{Key: claim.MakeKey("m", "s", "k2"), Token: "e1", Answer: &claim.Answer{Status: 200, Body: []byte("x")}}},
	} {
		index++
		c.Now = 1_000_000
		if _, err := s.Apply(index, c); err != nil {
			t.Fatal(err)
		}
	}
	before := &Machine{state: s}
	data, err := before.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	after := NewMachine()
	if err := after.Restore(data); err != nil {
		t.Fatal(err)
	}
	got := after.state
	for name, pair := range map[string][2]any{
		"market": {s.Market, got.Market}, "members": {s.Members, got.Members}, "claims": {s.Claims, got.Claims},
		"submissions": {s.Tasks.Submissions, got.Tasks.Submissions}, "order": {s.Tasks.SubmitOrder, got.Tasks.SubmitOrder},
		"tasks": {s.Tasks.Tasks, got.Tasks.Tasks}, "finished": {s.Tasks.Finished, got.Tasks.Finished},
	} {
		if !reflect.DeepEqual(pair[0], pair[1]) {
			t.Errorf("%s differ after a snapshot", name)
		}
	}
	for agent := range s.Members.Members {
		if s.Tasks.Reserved(agent) != got.Tasks.Reserved(agent) {
			t.Errorf("the capacity reserved on %s differs", agent)
		}
	}
	_, err = got.Apply(index+1, Command{Now: 1_000_000, Submit: &lease.Submit{ID: "kept", Market: "m", Job: "j1", Count: 9, IssuedMS: 1_000_000}})
	if !refusal.Is(err, refusal.ChangeReused) {
		t.Errorf("another submission under a known id: %v", err)
	}
}

// A job that needs more than any worker has must be set aside with a reason, and the tasks queued
// behind it, even of its own team, placed. A team at its quota must wait without delaying other
// teams.
func TestUnplaceableAndOverQuotaTasksDoNotBlockOthers(t *testing.T) {
	l, s := newLoadedLeader(t, 3, 0)
	index := s.Index
	do := func(c Command) {
		t.Helper()
		index++
		c.Now = 1_000_000
		if _, err := s.Apply(index, c); err != nil {
			t.Fatal(err)
		}
	}
	job := *s.Market.Markets["m"].Jobs["j1"]
	job.MilliCPU, job.Name = 70_000, "huge"
	s.Market.Markets["m"].Jobs["huge"] = &job
	team := s.Market.Teams.ByName["t2"]
	team.MilliCPU = 2000
	s.Market.Teams.ByName["t2"] = team
	for i, name := range []string{"huge", "j1", "j2", "j3"} {
		do(Command{Submit: &lease.Submit{ID: fmt.Sprint("x", i), Market: "m", Job: name, Count: 5, IssuedMS: 1_000_000}})
	}
	for range 3 {
		pass(l, s, &index)
	}
	want := map[string]map[lease.Phase]int{
		"huge": {lease.SetAside: 5}, "j1": {lease.Placed: 5}, "j2": {lease.Placed: 2, lease.Waiting: 3}, "j3": {lease.Placed: 5},
	}
	got := make(map[string]map[lease.Phase]int)
	for _, task := range s.Tasks.Tasks {
		if got[task.Job] == nil {
			got[task.Job] = make(map[lease.Phase]int)
		}
		got[task.Job][task.Phase]++
		if task.Phase == lease.SetAside && task.Reason == "" {
			t.Error("set aside without a reason")
		}
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("phases %v, want %v", got, want)
	}
}
