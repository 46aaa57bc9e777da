package control

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/waxwinghaven/waxwinghaven/claim"
	"github.com/waxwinghaven/waxwinghaven/lease"
	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// A replica is brought up by a snapshot, not by the log. Everything that decides
// later answers must be in it: without the submissions' record an operator who
// sends one again after a restart would have its tasks run twice.
func TestSnapshotHoldsTheWholeState(t *testing.T) {
	_, s := filled(t, 5, 20)
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
			t.Errorf("the room reserved on %s differs", agent)
		}
	}
	_, err = got.Apply(index+1, Command{Now: 1_000_000, Submit: &lease.Submit{ID: "kept", Market: "m", Job: "j1", Count: 9, IssuedMS: 1_000_000}})
	if !refusal.Is(err, refusal.ChangeReused) {
		t.Errorf("another submission under a known id: %v", err)
	}
}

// A job that asks for more than any worker has is set aside with its reason, and
// those behind it, of its own team too, are placed. A team at its quota waits
// without holding up the others.
func TestHopelessAndOverQuotaTasksBlockNobody(t *testing.T) {
	l, s := filled(t, 3, 0)
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
