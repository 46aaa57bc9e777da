package lease

import "sort"

// queues holds the waiting tasks, one list per job, oldest first. Tasks of one job need the same
// resources, so a scheduling pass looks only at the head of each list: its cost does not grow with
// the number of waiting tasks, and a job that cannot be placed does not block others.
type queues struct {
	byJob map[jobKey][]*Task
	count int
}

type jobKey struct{ market, job string }

func newQueues() *queues { return &queues{byJob: make(map[jobKey][]*Task)} }

func older(a, b *Task) bool {
	if a.Submitted != b.Submitted {
		return a.Submitted < b.Submitted
	}
	return a.ID < b.ID
}

func (q *queues) find(t *Task) (jobKey, []*Task, int) {
	key := jobKey{t.Market, t.Job}
	list := q.byJob[key]
	return key, list, sort.Search(len(list), func(i int) bool { return !older(list[i], t) })
}

func (q *queues) add(t *Task) {
	key, list, at := q.find(t)
	list = append(list, nil)
	copy(list[at+1:], list[at:])
	list[at] = t
	q.byJob[key] = list
	q.count++
}

func (q *queues) remove(t *Task) {
	key, list, at := q.find(t)
	if at == len(list) || list[at] != t {
		return
	}
	copy(list[at:], list[at+1:])
	list[len(list)-1] = nil
	q.byJob[key] = list[:len(list)-1]
	q.count--
	if len(list) == 1 {
		delete(q.byJob, key)
	}
}

// heads returns copies of the first n tasks of each list.
func (q *queues) heads(n int) []*Task {
	var out []*Task
	for _, list := range q.byJob {
		for _, t := range list[:min(n, len(list))] {
			c := *t
			out = append(out, &c)
		}
	}
	return out
}
