package operatorapi

import (
	"net/http"
	"time"

	"github.com/anishathalye/porcupine"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

// version is one version of the configuration and its predecessors. Equal sequences of versions are interned as the same pointer.
type version struct {
	revision    int64
	madeBy      string // key of the change that made it
	predecessor *version
}

// versionSet interns versions.
type versionSet map[version]*version

func (l versionSet) intern(v version) *version {
	if l[v] == nil {
		l[v] = &v
	}
	return l[v]
}

func (v *version) includes(key string) bool {
	for ; v != nil; v = v.predecessor {
		if v.madeBy == key {
			return true
		}
	}
	return false
}

// linearizableConfig checks changes and reads of the configuration: a change is one operation from its first attempt to its
// definite response, however often it was sent. A change without a definite response may take effect at any later time.
func (h *modelHistory) linearizableConfig(within time.Duration) porcupine.CheckResult {
	all := versionSet{}
	start := &version{}
	var first int64 = endOfTime
	for revision := range h.cluster.configurations {
		first = min(first, revision)
	}
	if long, _ := longHistory(); first == long.Revision() {
		start.revision = first
	}
	model := porcupine.Model{
		Init: func() any { return start },
		Step: func(state, input, _ any) (bool, any) {
			now, _ := state.(*version)
			if read, ok := input.(modelRead); ok {
				return h.cluster.configurations[now.revision] == read.body, now
			}
			o, _ := input.(*modelChange)
			key := changeKey(o.change)
			baseIsCurrent := now.revision == o.change.Base
			next := all.intern(version{revision: o.revision, madeBy: key, predecessor: now})
			switch {
			case o.status == http.StatusOK && baseIsCurrent, o.status == 0 && baseIsCurrent:
				return true, next
			case o.status == http.StatusOK:
				return now.includes(key), now
			case o.status == 0:
				return true, now
			}
			return !baseIsCurrent && !now.includes(key), now
		},
	}
	var operations []porcupine.Operation
	for i, o := range h.changes {
		if o.change.Zone != "" || o.resent {
			continue // a change that was resolved before is checked by configViolations
		}
		op := porcupine.Operation{ClientId: i, Input: o, Call: int64(o.startedAt), Return: int64(o.endedAt)}
		if o.status == 0 {
			op.Return = endOfTime
		}
		operations = append(operations, op)
	}
	for i, r := range h.reads {
		operations = append(operations, porcupine.Operation{ClientId: len(h.changes) + i, Input: r, Call: int64(r.startedAt), Return: int64(r.endedAt)})
	}
	return porcupine.CheckOperationsTimeout(model, operations, within)
}

// zoneAttempt is one attempt of a change for a zone.
type zoneAttempt struct {
	modelAttempt
	evacuate bool
}

// linearizableZone checks the changes of one zone against the observations of it. Every attempt is an operation of its own, since an
// operator that sends a change again wants it again. An attempt without an acknowledgement may take effect late or never, but not
// after the acknowledgement of an attempt that began after it was given up, and not at all if its caller has not followed a redirect.
func (h *modelHistory) linearizableZone(zone string, within time.Duration) porcupine.CheckResult {
	model := &porcupine.NondeterministicModel{
		Init: func() []any { return []any{false} },
		Step: func(state, input, _ any) []any {
			switch in := input.(type) {
			case zoneObservation:
				if state == any(in.evacuated) {
					return []any{state}
				}
			case zoneAttempt:
				if in.acknowledged {
					return []any{in.evacuate}
				}
				return []any{state, in.evacuate}
			}
			return nil
		},
	}
	var operations []porcupine.Operation
	add := func(input any, from, to time.Duration) {
		operations = append(operations, porcupine.Operation{ClientId: len(operations), Input: input, Call: int64(from), Return: int64(to)})
	}
	for _, attempt := range h.effectiveAttempts(zone) {
		end := attempt.endedAt
		if !attempt.acknowledged {
			end = h.firstAcknowledgementAfter(zone, attempt.endedAt)
		}
		add(attempt, attempt.startedAt, end)
	}
	for _, s := range h.observations {
		if s.zone == zone {
			add(s, s.at, s.at)
		}
	}
	return porcupine.CheckOperationsTimeout(model.ToModel(), operations, within)
}

// effectiveAttempts returns the attempts of changes of a zone that may take effect.
func (h *modelHistory) effectiveAttempts(zone string) (all []zoneAttempt) {
	for _, o := range h.changes {
		if o.change.Zone != zone {
			continue
		}
		for _, attempt := range o.attempts {
			if attempt.mayTakeEffect {
				all = append(all, zoneAttempt{attempt, o.change.Op == controlstate.OpEvacuate})
			}
		}
	}
	return all
}

// firstAcknowledgementAfter returns the time of the first acknowledgement of an attempt for the zone that began after the given time.
func (h *modelHistory) firstAcknowledgementAfter(zone string, moment time.Duration) time.Duration {
	at := time.Duration(endOfTime)
	for _, o := range h.changes {
		for _, attempt := range o.attempts {
			if o.change.Zone == zone && attempt.acknowledged && attempt.startedAt > moment {
				at = min(at, attempt.endedAt)
			}
		}
	}
	return at
}
