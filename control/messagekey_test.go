package control

import (
	"strings"
	"testing"
)

// Guards against leaders whose memory is filled by refusals of long paths, which they remember.
func TestKeysOfMessagesAreShort(t *testing.T) {
	long := strings.Repeat("x", 1<<14)
	first, second := &SubmitJob{Host: "a", Path: "/q/" + long + "1"}, &SubmitJob{Host: "a", Path: "/q/" + long + "2"}
	if len(first.key()) > maxKeyBytes {
		t.Errorf("a key has %d bytes", len(first.key()))
	}
	if first.key() == second.key() {
		t.Error("two jobs have the same key")
	}
	if c := (&CancelJob{JobCall: JobCall{Host: first.Host, Path: first.Path}}); c.key() != first.key() {
		t.Error("a job's cancellation has another key")
	}
	if short := (&SubmitJob{Host: "a", Path: "/q/1"}); short.key() != "a/q/1" {
		t.Errorf("a short key is %q", short.key())
	}
}
