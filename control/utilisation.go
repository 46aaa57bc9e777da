package control

import (
	"time"

	"github.com/sirupsen/logrus"
)

// utilisationInterval is how often the leader logs the utilisation of the workers.
const utilisationInterval = 2 * time.Second

// logUtilisation logs the utilisation of the workers and the waiting tasks, to explain later why
// a job was late or refused. It also expires what was learned about workers that are gone.
func (d *dispatcher) logUtilisation() {
	var workers, draining, serving, waitingTasks int
	var capacity, held, servingCPU, filling int64
	var live, groups int
	d.r.machine.Read(func(s *State) {
		for id, w := range s.Jobs.Workers {
			workers++
			if w.Draining {
				draining++
			}
			u := s.Jobs.Use(id)
			capacity += w.Capacity.MilliCPU
			held += u.Held.MilliCPU
			servingCPU += u.ServingCPU
			filling += u.Filling
			if u.ServingCPU > 0 {
				serving++
			}
		}
		ready := s.Jobs.Ready()
		groups, live = len(ready), s.Jobs.Live()
		for _, g := range ready {
			waitingTasks += g.Waiting()
		}
	})
	logrus.WithFields(logrus.Fields{"workers": workers, "draining": draining, "serving_workers": serving, "milli_cpu": capacity,
		"held": held, "serving": servingCPU, "filling": filling, "live_jobs": live, "waiting_steps": groups, "waiting_tasks": waitingTasks, "isolated": int(workersIsolated.Get())}).
		Info("control: How full the workers are.")
	d.costs.Expire(time.Now())
	d.costs.LogPairs()
}
