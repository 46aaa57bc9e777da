package entry

import (
	"slices"
	"sync"
	"time"
)

const (
	// crossing is how much later than another a call must have arrived to have come
	// after it. Two calls closer than that may have been sent in either order: a
	// caller's way to the instance takes a few milliseconds, and its retransmission
	// some tens.
	crossing = 100 * time.Millisecond
	// orderMemory is how long the answers of a version are remembered: longer than any
	// caller was seen to wait for one answer (3 s).
	orderMemory = 30 * time.Second
)

// answerOrder keeps an instance's answers from going back in the order in which the
// calls came. A look-up that is held while nobody leads may be answered by a version of
// the configuration that was committed after a later call had its answer by an older
// one. Each answer is right when it is given, but whoever goes by when the calls were
// sent sees the instance go back from the newer version to the older. Such an answer is
// withheld, and the caller asks again: nothing has run. It is rare, a change of the
// configuration just after a change of leader, so callers lose next to nothing.
type answerOrder struct {
	mu    sync.Mutex
	spans []versionSpan
}

// versionSpan is when the calls arrived that one version answered.
type versionSpan struct {
	version     uint64
	first, last time.Time
}

// admit reports whether a call that arrived at a time may be answered by a version, and
// if so remembers it. A version of 0 says nothing of the configuration.
func (o *answerOrder) admit(arrived time.Time, version uint64) bool {
	if version == 0 {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.spans {
		olderCameLater := s.version < version && s.last.Sub(arrived) > crossing
		newerCameBefore := s.version > version && arrived.Sub(s.first) > crossing
		if olderCameLater || newerCameBefore {
			return false
		}
	}
	o.note(arrived, version)
	return true
}

func (o *answerOrder) note(arrived time.Time, version uint64) {
	o.spans = slices.DeleteFunc(o.spans, func(s versionSpan) bool { return arrived.Sub(s.last) > orderMemory })
	i := slices.IndexFunc(o.spans, func(s versionSpan) bool { return s.version == version })
	if i < 0 {
		o.spans = append(o.spans, versionSpan{version, arrived, arrived})
		return
	}
	s := &o.spans[i]
	if arrived.Before(s.first) {
		s.first = arrived
	}
	if arrived.After(s.last) {
		s.last = arrived
	}
}
