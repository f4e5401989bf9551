package main

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"gradeusher.example/gradeusher/internal/cairn"
)

// TEMPORARY: one keeper in memory, to try the path before the chain is there.
type solo struct {
	mu      sync.Mutex
	leader  bool
	ips     []string
	state   *cairn.State
	records []cairn.Record
	changed chan struct{}
}

func (s *solo) Committed() (*cairn.State, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state, s.changed
}
func (s *solo) Since(seq uint64, most int) ([]cairn.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if seq > uint64(len(s.records)) {
		return nil, false
	}
	r := s.records[seq:]
	return slices.Clone(r[:min(len(r), most)]), true
}
func (s *solo) Current() bool       { return s.leader }
func (s *solo) Addresses() []string { return s.ips }
func (s *solo) Handler() http.Handler {
	return http.NotFoundHandler()
}
func (s *solo) Epoch() uint64 { return 1 }
func (s *solo) Submit(_ context.Context, c cairn.Change) (cairn.Verdict, error) {
	if !s.leader {
		return cairn.Verdict{}, context.DeadlineExceeded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.state.Check(c)
	if v.Kind == cairn.Accept {
		r := c.Record(s.state.Seq + 1)
		n, err := s.state.Apply(r)
		if err != nil {
			return v, err
		}
		s.state = n
		s.records = append(s.records, r)
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return v, nil
}
func (s *solo) Read(context.Context) (*cairn.State, error) {
	if !s.leader {
		return nil, context.DeadlineExceeded
	}
	return s.state, nil
}
func (k *keeper) start(context.Context) error {
	ips := k.settings.SeedIPs()
	k.chain = &solo{leader: slices.Min(ips) == k.settings.IP, ips: ips, state: cairn.Empty(), changed: make(chan struct{})}
	return nil
}
func (k *keeper) leave()      {}
func (k *keeper) status() any { return nil }
