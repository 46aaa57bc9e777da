package entry

import (
	"slices"
	"sync"
	"time"
)

const (
	// reorderWindow is the difference of arrival times above which two calls count as ordered.
	// Calls that arrive closer together may have been sent in either order: the network
	// path from a caller takes a few milliseconds, and a retransmission some tens.
	reorderWindow = 100 * time.Millisecond
	// spanRetention is how long a version's answers are remembered. It is longer than the
	// longest observed time that a caller waits for one answer (3 s).
	spanRetention = 30 * time.Second
)

// answerOrder ensures that the configuration versions in an instance's answers do not decrease
// in the order in which the calls arrived. A look-up that waits while there is no leader may be
// answered by a version that was committed after a later call was answered by an older one.
// Each answer is correct when given, but in the order of sending the instance appears to go
// back to the older version. Such an answer is withheld and the caller retries, which is safe
// because a look-up runs nothing. It happens only if the configuration changes just after a
// change of leader, so that few calls are affected.
type answerOrder struct {
	mu    sync.Mutex
	spans []versionSpan
}

// versionSpan holds the first and last arrival times of the calls answered by one version.
type versionSpan struct {
	version     uint64
	first, last time.Time
}

// admit reports whether a call that arrived at the given time may be answered by a version, and
// records the answer if so. Version 0 marks an answer that does not depend on the
// configuration; it is always admitted.
func (o *answerOrder) admit(arrived time.Time, version uint64) bool {
	if version == 0 {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.spans {
		olderAnsweredLater := s.version < version && s.last.Sub(arrived) > reorderWindow
		newerAnsweredEarlier := s.version > version && arrived.Sub(s.first) > reorderWindow
		if olderAnsweredLater || newerAnsweredEarlier {
			return false
		}
	}
	o.record(arrived, version)
	return true
}

func (o *answerOrder) record(arrived time.Time, version uint64) {
	o.spans = slices.DeleteFunc(o.spans, func(s versionSpan) bool { return arrived.Sub(s.last) > spanRetention })
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
