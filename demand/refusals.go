package demand

import "time"

// key names a job of a queue.
type key struct{ queue, id string }

type entry struct {
	key key
	Verdict
}

// refusals is a ring of the latest refusals, the oldest first. A job that is refused again gets a
// new entry, so that the order is that of the ages.
type refusals struct {
	ring  []entry
	first int
	count int
	byJob map[key]int // position in ring of a job's last refusal
}

// record keeps a refusal. It drops the expired ones, and the oldest if the ring is full.
func (f *refusals) record(k key, r Refusal, now time.Time) {
	if f.ring == nil {
		f.ring, f.byJob = make([]entry, maxVerdicts), make(map[key]int, maxVerdicts)
	}
	f.Expire(now)
	if f.count == len(f.ring) {
		f.dropFirst()
	}
	e := entry{k, Verdict{Refusal: r, At: now, First: now, Count: 1}}
	if i, known := f.byJob[k]; known {
		e.First, e.Count = f.ring[i].First, f.ring[i].Count+1
	}
	i := (f.first + f.count) % len(f.ring)
	f.ring[i] = e
	f.byJob[k] = i
	f.count++
}

// Expire drops the refusals that are older than VerdictAge.
func (f *refusals) Expire(now time.Time) {
	for f.count > 0 && now.Sub(f.ring[f.first].At) > VerdictAge {
		f.dropFirst()
	}
}

func (f *refusals) dropFirst() {
	e := &f.ring[f.first]
	if i, known := f.byJob[e.key]; known && i == f.first {
		delete(f.byJob, e.key)
	}
	*e = entry{}
	f.first = (f.first + 1) % len(f.ring)
	f.count--
}

// Verdict returns the last refusal of a job within VerdictAge.
func (f *refusals) Verdict(queue, id string, now time.Time) (Verdict, bool) {
	i, known := f.byJob[key{queue, id}]
	if !known || now.Sub(f.ring[i].At) > VerdictAge {
		return Verdict{}, false
	}
	return f.ring[i].Verdict, true
}
