package testcluster

import (
	"time"

	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

// Instance is an entry of the platform's list.
type Instance struct {
	Target       string        `json:"target"` // service
	Address      string        `json:"address"`
	Zone         string        `json:"zone"`
	Revision     string        `json:"revision"`
	Slots        int           `json:"slots"`
	Phase        string        `json:"phase"` // phaseServing or phaseDraining
	WarmUpLeftMS int64         `json:"cold_left_ms"`
	RemainingMS  *int64        `json:"remaining_ms,omitempty"` // until a withdrawn server ends
	Stage        string        `json:"stage,omitempty"`
	Models       []listedModel `json:"models,omitempty"`
	ID           string        `json:"id"`

	warmUntil time.Duration // from which WarmUpLeftMS is computed when the entry is served
}

// Phases of an instance.
const (
	phaseServing  = "serving"
	phaseDraining = "draining"
)

// modelStage says that the model servers do both prefill and decode.
const modelStage = "both"

// listedModel is a model that a server has loaded.
type listedModel struct {
	Name     string   `json:"name"`
	Revision int      `json:"revision"`
	Adapters []string `json:"adapters"`
}

func listedModels() []listedModel { return []listedModel{{"m", 1, []string{}}} }

// instance returns the server's entry in the platform's list as of now. It has none before its first start, after a planned end, and from
// crashedListedFor after a crash on.
func (s *Server) instance(crashedListedFor time.Duration) (entry Instance, listed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.env.Now()
	switch {
	case s.id == "" || s.stoppedAt != rules.Never:
		return Instance{}, false
	case s.crashedAt != rules.Never && now-s.crashedAt > crashedListedFor:
		return Instance{}, false
	}
	entry = Instance{Target: s.Service, Address: s.address, Zone: s.Zone, Revision: "v1", Slots: s.Slots(), Phase: phaseServing,
		ID: s.id, warmUntil: s.warmUntil}
	if s.draining {
		entry.Phase = phaseDraining
	}
	if s.withdrawAt != rules.Never {
		left := max(0, s.withdrawAt-now).Milliseconds()
		entry.RemainingMS = &left
	}
	if s.Engine != nil {
		entry.Stage, entry.Models = modelStage, listedModels()
	}
	return entry, true
}
