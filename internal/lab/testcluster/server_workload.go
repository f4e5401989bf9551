package testcluster

import (
	"context"
	"time"

	"gradeusher.example/gradeusher/internal/lab/testcluster/engine"
)

const idleWait = time.Hour // of run, while the workload has nothing to do

// startWorkload gives the incarnation an empty workload. It is called with s.mu held.
func (s *Server) startWorkload(now time.Duration) {
	if s.Engine == nil {
		s.workload = newPlainWorkload(*s.Plain, now)
		return
	}
	s.engine = engine.New(*s.Engine, now)
	s.workload = s.engine
}

// run delivers the workload's outputs as they become due, until ctx ends. It closes stopped when it returns.
func (s *Server) run(ctx context.Context, wake, stopped chan struct{}) {
	defer close(stopped)
	timer := time.NewTimer(idleWait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.deliver()
		next, ok := s.workload.Next()
		s.mu.Unlock()
		wait := idleWait
		if ok {
			wait = max(0, next-s.env.Now())
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case <-wake:
		case <-timer.C:
		}
	}
}

// deliver hands the outputs that are due by now to the requests that wait for them. It is called with s.mu held.
func (s *Server) deliver() {
	for _, output := range s.workload.Advance(s.env.Now()) {
		if waiter := s.waiters[output.Key]; waiter != nil {
			waiter <- output // It never blocks: submit gave the channel capacity for all outputs of the request.
		}
	}
}

// wakeRun has run look at the workload again. It is called with s.mu held.
func (s *Server) wakeRun() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// maxOtherOutputs bounds the outputs of a request that are not tokens: its start and its end among them.
const maxOtherOutputs = 3

// submit hands a request to the workload. It returns the request's key and the channel of its outputs, or nil if the server is full. It is
// called with s.mu held.
func (s *Server) submit(now time.Duration, request engine.Request) (uint64, chan engine.Output) {
	s.lastKey++
	request.Key = s.lastKey
	outputs := make(chan engine.Output, request.AnswerTokens+maxOtherOutputs)
	s.deliver()
	s.waiters[request.Key] = outputs
	if !s.workload.Submit(now, request) {
		delete(s.waiters, request.Key)
		return 0, nil
	}
	s.wakeRun()
	return request.Key, outputs
}

// cancelRequest takes a request from the workload, and reports whether work on it has started.
func (s *Server) cancelRequest(key uint64) (started bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	started = s.workload.Cancel(s.env.Now(), key)
	s.wakeRun()
	return started
}

// forgetRequest drops the outputs of a request that has ended.
func (s *Server) forgetRequest(key uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, key)
}
