package jobs

// Pending counts a queue's jobs without a started task.
//
// begun reports whether a run is known to have started, by other means than the log.
func (s *State) Pending(host, prefix string, begun func(Ref, *Placed) bool) int {
	n := s.queued[host+prefix]
	for _, j := range s.placed[host+prefix] {
		if !j.anyRun(begun) {
			n++
		}
	}
	return n
}

// anyRun reports whether test holds for any run of the job.
func (j *Job) anyRun(test func(Ref, *Placed) bool) bool {
	for _, g := range j.Groups {
		for k := range g.Tasks {
			for _, r := range g.Tasks[k].Runs() {
				if test(g.ref(k), r) {
					return true
				}
			}
		}
	}
	return false
}

// hasProgress reports whether a task has ended or saved a checkpoint.
func (j *Job) hasProgress() bool {
	for _, g := range j.Groups {
		for k := range g.Tasks {
			if t := &g.Tasks[k]; t.Done || t.Failures > 0 || t.Checkpoint != "" {
				return true
			}
		}
	}
	return false
}

// ApplyBegan records that tasks of jobs have started.
func (s *State) ApplyBegan(ids []string) {
	for _, id := range ids {
		if j := s.Jobs[id]; j != nil {
			s.setBegan(j)
		}
	}
}

func (s *State) setBegan(j *Job) {
	if !j.Began {
		j.Began = true
		s.trackPlaced(j)
	}
}

// trackPlaced updates placed after a change of a job.
func (s *State) trackPlaced(j *Job) {
	queue := j.Host + j.Prefix
	if j.Phase != Running || j.Began {
		delete(s.placed[queue], j.ID)
		if len(s.placed[queue]) == 0 {
			delete(s.placed, queue)
		}
		return
	}
	if s.placed[queue] == nil {
		s.placed[queue] = make(map[string]*Job)
	}
	s.placed[queue][j.ID] = j
}
