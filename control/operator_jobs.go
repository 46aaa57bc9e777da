package control

import (
	"context"
	"sort"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/queues"
	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/resource"
	"github.com/waxwinghaven/waxwinghaven/upkeep"
)

// JobRequest names a job in a queue and, on submission, holds its specification.
type JobRequest struct {
	Host string     `json:"host"`
	Path string     `json:"path"` // the queue's prefix and the job's id
	Spec *jobs.Spec `json:"spec,omitempty"`
}

// JobView is a job as operators see it.
type JobView struct {
	ID       string `json:"id"`
	Queue    string `json:"queue"` // host and prefix
	Phase    string `json:"phase"`
	Accepted int64  `json:"accepted_ms"` // since 1970; see jobs.Job.AcceptedAt
	Tasks    int    `json:"tasks"`
	Done     int    `json:"done"`
	Placed   int    `json:"placed"`
	Steps    string `json:"steps"`
	// FailureReason is the reason for which the job failed.
	FailureReason string `json:"why,omitempty"`
}

// WorkerView is a worker as operators see it.
type WorkerView struct {
	ID         string          `json:"id"`
	Agent      string          `json:"agent"`
	Service    string          `json:"service"`
	DataCentre string          `json:"data_centre"`
	Capacity   resource.Vector `json:"capacity"`
	Held       resource.Vector `json:"held"`
	Filling    int64           `json:"filling_milli_cpu"`
	Runs       int             `json:"runs"`
	Draining   bool            `json:"draining"`
}

func (r *Replica) jobOperatorRoutes(routes map[string]operatorRoute) {
	routes["GET /v1/queues"] = r.getQueues
	routes["POST /v1/queues"] = r.postQueues
	routes["GET /v1/jobs"] = r.getJobs
	routes["POST /v1/jobs"] = r.postJob
	routes["POST /v1/job-cancellations"] = r.postJobCancellation
	routes["GET /v1/workers"] = r.getWorkers
	routes["GET /v1/machines"] = r.getMachines
	routes["POST /v1/machine-moves"] = r.postMachineMove
	r.demandRoutes(routes)
	routes["GET /v1/waves"] = r.getWaves
	routes["POST /v1/waves"] = r.postWave
}

func (r *Replica) getQueues(*fasthttp.RequestCtx) (any, error) {
	var c queues.Config
	err := r.confirmed(func(s *State) { c = s.Queues.Config })
	return c, err
}

func (r *Replica) postQueues(q *fasthttp.RequestCtx) (any, error) {
	var c queues.Config
	if err := readJSON(q, &c); err != nil {
		return nil, err
	}
	c.Source = append([]byte(nil), q.PostBody()...)
	return r.PutConfig(PutConfig{Config: c})
}

func readJobRequest(q *fasthttp.RequestCtx) (JobRequest, error) {
	var j JobRequest
	if err := readJSON(q, &j); err != nil {
		return j, err
	}
	if j.Host == "" || j.Path == "" {
		return j, refusal.New(refusal.Invalid, "name the queue's host, and its prefix with the job's id as the path", "the request names no job")
	}
	return j, nil
}

func (r *Replica) postJob(q *fasthttp.RequestCtx) (any, error) {
	j, err := readJobRequest(q)
	if err != nil {
		return nil, err
	}
	if j.Spec == nil {
		return nil, refusal.New(refusal.Invalid, "send a spec with its steps", "the request has no spec")
	}
	return r.onSubmitJob(SubmitJob{Host: j.Host, Path: j.Path, Spec: *j.Spec})
}

func (r *Replica) postJobCancellation(q *fasthttp.RequestCtx) (any, error) {
	j, err := readJobRequest(q)
	if err != nil {
		return nil, err
	}
	logrus.WithField("job", j.Path).Info("control: An operator cancels a job.")
	return r.onCancelJob(CancelJob{JobCall: JobCall{j.Host, j.Path}})
}

func (r *Replica) getJobs(q *fasthttp.RequestCtx) (any, error) {
	limit := q.QueryArgs().GetUintOrZero("limit")
	if limit == 0 {
		limit = defaultTasks
	}
	id := string(q.QueryArgs().Peek("id"))
	out := []JobView{}
	err := r.confirmed(func(s *State) {
		for _, j := range s.Jobs.Jobs {
			if id == "" || j.ID == id {
				out = append(out, viewJob(j))
			}
		}
	})
	sort.Slice(out, func(i, k int) bool {
		return out[i].Accepted > out[k].Accepted || (out[i].Accepted == out[k].Accepted && out[i].ID < out[k].ID)
	})
	return out[:min(limit, len(out))], err
}

func viewJob(j *jobs.Job) JobView {
	v := JobView{ID: j.ID, Queue: j.Host + j.Prefix, Phase: j.Phase.String(), Accepted: j.AcceptedAt, Steps: j.Spec.String(), FailureReason: j.FailureReason}
	for _, g := range j.Groups {
		open, placed := g.Open()
		v.Tasks += len(g.Tasks)
		v.Done += len(g.Tasks) - open
		v.Placed += placed
	}
	return v
}

func (r *Replica) getWorkers(*fasthttp.RequestCtx) (any, error) {
	out := []WorkerView{}
	err := r.confirmed(func(s *State) {
		for id, w := range s.Jobs.Workers {
			u := s.Jobs.Use(id)
			out = append(out, WorkerView{ID: id, Agent: w.Agent, Service: w.Service, DataCentre: w.DataCentre, Capacity: w.Capacity,
				Held: u.Held, Filling: u.Filling, Runs: len(u.Runs), Draining: w.Draining})
		}
	})
	sort.Slice(out, func(i, k int) bool { return out[i].Agent < out[k].Agent })
	return out, err
}

func (r *Replica) getMachines(*fasthttp.RequestCtx) (any, error) {
	if r.waves.machines == nil {
		return nil, noMachines(refusal.NotFound)
	}
	ctx, cancel := context.WithTimeout(context.Background(), machineTimeout)
	defer cancel()
	list, err := r.waves.list(ctx)
	if err != nil {
		return nil, refusal.New(refusal.Unreachable, "check the platform's interface for machines", "the machines can't be listed: %v", err)
	}
	return list, nil
}

func (r *Replica) postMachineMove(q *fasthttp.RequestCtx) (any, error) {
	var m MachineMove
	if err := readJSON(q, &m); err != nil {
		return nil, err
	}
	return r.MoveMachine(m)
}

func (r *Replica) getWaves(*fasthttp.RequestCtx) (any, error) {
	out := []WaveView{}
	err := r.confirmed(func(s *State) {
		for _, x := range s.Waves.Waves {
			out = append(out, viewWave(x))
		}
	})
	sort.Slice(out, func(i, k int) bool { return out[i].Number > out[k].Number })
	return out, err
}

func (r *Replica) postWave(q *fasthttp.RequestCtx) (any, error) {
	var w upkeep.Wave
	if err := readJSON(q, &w); err != nil {
		return nil, err
	}
	return r.StartWave(w)
}
