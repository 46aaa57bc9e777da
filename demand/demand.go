// Package demand counts, for each queue, the jobs that arrive and what becomes of them, and keeps
// the recent refusals by job. It is pure: the time is passed in, and the caller serialises the
// calls.
package demand

import "time"

const (
	// maxQueues bounds the queues that are counted separately; jobs of further ones are counted
	// together as Other.
	maxQueues = 150
	// bucketCount is how many seconds are kept, one bucket for each.
	bucketCount = 60
	// maxReasons bounds the reasons that are counted separately. The last of them stands for all
	// others.
	maxReasons = 16
	// maxVerdicts bounds the refusals that are kept; at 83 a second they cover VerdictAge.
	maxVerdicts = 10_000
	// VerdictAge is how long a refusal is kept.
	VerdictAge = 2 * time.Minute
)

// Other is the name under which queues beyond the bound, and reasons beyond theirs, are counted.
const Other = "other"

// Outcome is how a job ended.
type Outcome uint8

// The outcomes of jobs.
const (
	InTime    Outcome = iota // completed within its objective
	Late                     // completed after its objective
	Failed                   // a task failed too often or was given up
	Cancelled                // by its caller, which is also how standing jobs end
	outcomes
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"in-time", "late", "failed", "cancelled"}[o]
}

// Refusal is why a submission was refused.
type Refusal struct {
	Reason     string // one of a few short codes
	Message    string
	RetryAfter time.Duration // as told to the caller, 0 for none
}

// Verdict is the last refusal of a job. First and Count are of the series of refusals in which each
// followed the one before within VerdictAge.
type Verdict struct {
	Refusal
	At, First time.Time
	Count     int
}

// Window sums up a number of seconds.
type Window struct {
	Arrived   uint64            `json:"arrived"`
	Accepted  uint64            `json:"accepted"`
	Refused   map[string]uint64 `json:"refused,omitempty"` // by reason
	InTime    uint64            `json:"in_time"`
	Late      uint64            `json:"late"`
	Failed    uint64            `json:"failed"`
	Cancelled uint64            `json:"cancelled"`
	// Processors is the rate of completed work.
	Processors float64 `json:"processors"`
}

// Refusals returns the number of refusals for any reason.
func (w *Window) Refusals() (n uint64) {
	for _, k := range w.Refused {
		n += k
	}
	return n
}

// Empty reports whether nothing happened.
func (w *Window) Empty() bool {
	return w.Arrived+w.Accepted+w.Refusals()+w.InTime+w.Late+w.Failed+w.Cancelled == 0 && w.Processors == 0
}

// Summary is what happened to one queue's jobs lately.
type Summary struct {
	Last10s Window `json:"last_10s"`
	Last60s Window `json:"last_60s"`
}

// bucket holds the counts of one second.
type bucket struct {
	second            int64
	arrived, accepted uint32
	refused           [maxReasons]uint32
	ended             [outcomes]uint32
	work              float64 // completed, in processor-milliseconds
}

type queueBuckets [bucketCount]bucket

// Stats holds the counts and refusals since a point in time.
type Stats struct {
	since   time.Time
	queues  map[string]*queueBuckets
	reasons []string
	refusals
}

// New returns empty statistics that begin now.
func New(now time.Time) *Stats {
	return &Stats{since: now, queues: make(map[string]*queueBuckets)}
}

// Since returns when the statistics begin.
func (s *Stats) Since() time.Time { return s.since }

// Arrived counts a submission of a job that is not known yet.
func (s *Stats) Arrived(queue string, now time.Time) { s.bucket(queue, now).arrived++ }

// Accepted counts an accepted job.
func (s *Stats) Accepted(queue string, now time.Time) { s.bucket(queue, now).accepted++ }

// Refused counts a refused submission and, unless id is empty, keeps the refusal for Verdict.
func (s *Stats) Refused(queue, id string, r Refusal, now time.Time) {
	s.bucket(queue, now).refused[s.reason(r.Reason)]++
	if id != "" {
		s.record(key{queue, id}, r, now)
	}
}

// Ended counts a job that ended.
func (s *Stats) Ended(queue string, o Outcome, now time.Time) { s.bucket(queue, now).ended[o]++ }

// Worked adds the work of a completed task, in processor-milliseconds.
func (s *Stats) Worked(queue string, work float64, now time.Time) {
	s.bucket(queue, now).work += work
}

// Retain drops the counts of the queues for which keep returns false. Their refusals expire by
// age.
func (s *Stats) Retain(keep func(queue string) bool) {
	for queue := range s.queues {
		if queue != Other && !keep(queue) {
			delete(s.queues, queue)
		}
	}
}

// second returns the number of whole seconds since the beginning.
func (s *Stats) second(now time.Time) int64 { return max(0, int64(now.Sub(s.since)/time.Second)) }

// bucket returns a queue's bucket of the present second.
func (s *Stats) bucket(queue string, now time.Time) *bucket {
	q := s.queues[queue]
	if q == nil {
		if s.named() >= maxQueues && queue != Other {
			return s.bucket(Other, now)
		}
		q = &queueBuckets{}
		s.queues[queue] = q
	}
	second := s.second(now)
	b := &q[second%bucketCount]
	if b.second != second {
		*b = bucket{second: second}
	}
	return b
}

// named returns the number of queues that are counted separately.
func (s *Stats) named() int {
	if s.queues[Other] != nil {
		return len(s.queues) - 1
	}
	return len(s.queues)
}

// reason returns the number of a reason.
func (s *Stats) reason(name string) int {
	for i, r := range s.reasons {
		if r == name {
			return i
		}
	}
	if len(s.reasons) == maxReasons-1 {
		return maxReasons - 1
	}
	s.reasons = append(s.reasons, name)
	return len(s.reasons) - 1
}

func (s *Stats) reasonName(i int) string {
	if i < len(s.reasons) {
		return s.reasons[i]
	}
	return Other
}

// Summary sums up a queue's last 10 and 60 seconds.
func (s *Stats) Summary(queue string, now time.Time) Summary {
	return Summary{Last10s: s.window(queue, 10, now), Last60s: s.window(queue, bucketCount, now)}
}

// window sums up the present second and those before it, together the given number.
func (s *Stats) window(queue string, seconds int64, now time.Time) (w Window) {
	q := s.queues[queue]
	if q == nil {
		return w
	}
	last := s.second(now)
	work := 0.0
	for i := range q {
		b := &q[i]
		if b.second > last || b.second <= last-seconds {
			continue
		}
		w.Arrived += uint64(b.arrived)
		w.Accepted += uint64(b.accepted)
		for k, n := range b.refused {
			if n == 0 {
				continue
			}
			if w.Refused == nil {
				w.Refused = make(map[string]uint64)
			}
			w.Refused[s.reasonName(k)] += uint64(n)
		}
		w.InTime += uint64(b.ended[InTime])
		w.Late += uint64(b.ended[Late])
		w.Failed += uint64(b.ended[Failed])
		w.Cancelled += uint64(b.ended[Cancelled])
		work += b.work
	}
	// The present second has only begun, and the statistics may be younger than the window.
	from := time.Duration(max(0, last-seconds+1)) * time.Second
	if covered := now.Sub(s.since) - from; covered > 0 {
		w.Processors = work / max(covered, time.Second).Seconds() / 1000
	}
	return w
}
