package testcluster

import (
	"time"

	"gradeusher.example/gradeusher/internal/lab/model"
	"gradeusher.example/gradeusher/internal/lab/testcluster/engine"
)

// workload is the work of a server, in virtual time. Calls come with times that never go back. It is engine.Engine or plainWorkload.
type workload interface {
	// Submit submits a request, and reports whether there is capacity for it.
	Submit(now engine.Time, request engine.Request) bool
	// Advance works until now, and returns what came of it, in order.
	Advance(now engine.Time) []engine.Output
	// Next returns when the next output is due; ok is false while there is nothing to do.
	Next() (at engine.Time, ok bool)
	// Cancel drops a request, and reports whether work on it has started.
	Cancel(now engine.Time, key uint64) (started bool)
	// Load returns how many requests run, and how many wait.
	Load() (running, waiting int)
}

// plainWorkload is the workload of a server without a model: a request occupies a slot for a fixed time.
type plainWorkload struct {
	server *model.Server
	spec   PlainSpec
}

func newPlainWorkload(spec PlainSpec, now time.Duration) *plainWorkload {
	cores := model.Spec{Cores: spec.Slots, Speed: 1, Slots: spec.Slots, Queue: spec.Queue}
	return &plainWorkload{spec: spec, server: model.New(cores, int64(now), false)}
}

// Submit implements workload.
func (p *plainWorkload) Submit(now engine.Time, request engine.Request) bool {
	return p.server.Arrive(int64(now), model.Job{Key: request.Key, Work: p.spec.Work.Seconds()})
}

// Advance implements workload.
func (p *plainWorkload) Advance(now engine.Time) []engine.Output {
	var outputs []engine.Output
	for _, done := range p.server.Advance(int64(now)) {
		outputs = append(outputs, engine.Output{Key: done.Key, Kind: engine.Done, At: engine.Time(done.At)})
	}
	return outputs
}

// Next implements workload.
func (p *plainWorkload) Next() (at engine.Time, ok bool) {
	next, ok := p.server.Next()
	return engine.Time(next), ok
}

// Cancel implements workload. It does not stop the work, and does not distinguish requests that wait: every request counts as started.
func (p *plainWorkload) Cancel(engine.Time, uint64) bool { return true }

// Load implements workload.
func (p *plainWorkload) Load() (running, waiting int) {
	jobs := p.server.JobCount()
	return min(jobs, p.spec.Slots), max(0, jobs-p.spec.Slots)
}
