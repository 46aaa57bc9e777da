package entry

import (
	"context"
	"fmt"
	"testing"

	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/queues"
	"github.com/waxwinghaven/waxwinghaven/settings"
	"github.com/waxwinghaven/waxwinghaven/transport"
)

// Guards against an entry that goes back to the limits of an older version, which a replica that is
// behind has told it: calls that the newer one allows would be refused.
func TestLimitsOfOlderVersionsAreIgnored(t *testing.T) {
	const addr = "127.0.8.61:7780"
	answer := control.ReplicasAnswer{Replicas: []string{addr}}
	server := transport.NewServer("test", nil)
	server.Handle(control.PathReplicas, func([]byte) (any, error) { return answer, nil }, transport.RoleEntry)
	ln, err := transport.Listen(addr)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, ln) }()
	defer func() { cancel(); <-done }()
	set, err := settings.Parse("test", fmt.Sprintf("[instance]\nname=\"e\"\ndata_centre=\"dc\"\nip=\"127.0.8.62\"\n[peers]\ncontrol=[%q]\n[entry]\nport=7105\nhealth_port=7106\n", addr))
	if err != nil {
		t.Fatal(err)
	}
	j, err := NewJobs(set)
	if err != nil {
		t.Fatal(err)
	}
	var got []int
	j.OnLimits = func(l queues.Limits) { got = append(got, l.BodyBytes) }
	for _, v := range []uint64{0, 2, 1, 3} {
		answer.Version, answer.Limits = v, &queues.Limits{BodyBytes: int(v) * 100}
		if v == 0 {
			answer.Limits = nil
		}
		j.refresh()
	}
	if fmt.Sprint(got) != "[200 300]" {
		t.Errorf("limits in force, in turn: %v", got)
	}
}
