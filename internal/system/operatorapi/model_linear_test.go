package operatorapi

import (
	"net/http"
	"time"

	"github.com/anishathalye/porcupine"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

// version is one version of the configuration, with all before it. Equal lines of versions are the same pointer.
type version struct {
	revision int64
	made     string // key of the change that made it
	before   *version
}

// lines makes versions.
type lines map[version]*version

func (l lines) next(v version) *version {
	if l[v] == nil {
		l[v] = &v
	}
	return l[v]
}

func (v *version) holds(key string) bool {
	for ; v != nil; v = v.before {
		if v.made == key {
			return true
		}
	}
	return false
}

// linearizableConfig checks orders and reads of the configuration: an order is one operation from its first sending to its
// clear answer, however often it was sent. One without a clear answer may take effect at any later time.
func (h *modelHistory) linearizableConfig(within time.Duration) porcupine.CheckResult {
	all := lines{}
	start := &version{}
	var first int64 = never
	for revision := range h.world.raw {
		first = min(first, revision)
	}
	if long, _ := longHistory(); first == long.Revision() {
		start.revision = first
	}
	model := porcupine.Model{
		Init: func() any { return start },
		Step: func(state, input, output any) (bool, any) {
			now, _ := state.(*version)
			if read, ok := input.(modelRead); ok {
				return h.world.raw[now.revision] == read.body, now
			}
			o, _ := input.(*modelOrder)
			key := changeKey(o.change)
			fits := now.revision == o.change.Base
			next := all.next(version{revision: o.revision, made: key, before: now})
			switch {
			case o.status == http.StatusOK && fits, o.status == 0 && fits:
				return true, next
			case o.status == http.StatusOK:
				return now.holds(key), now
			case o.status == 0:
				return true, now
			}
			return !fits && !now.holds(key), now
		},
	}
	var operations []porcupine.Operation
	for i, o := range h.orders {
		if o.change.Zone != "" || o.again {
			continue // what was settled before is checked by itself
		}
		op := porcupine.Operation{ClientId: i, Input: o, Call: int64(o.called), Return: int64(o.answered)}
		if o.status == 0 {
			op.Return = never
		}
		operations = append(operations, op)
	}
	for i, r := range h.reads {
		operations = append(operations, porcupine.Operation{ClientId: len(h.orders) + i, Input: r, Call: int64(r.called), Return: int64(r.answered)})
	}
	return porcupine.CheckOperationsTimeout(model, operations, within)
}

// zoneTry is one sending of an order for a zone.
type zoneTry struct {
	modelTry
	evacuate bool
}

// linearizableZone checks the orders of one zone against what was seen of it. Every sending is an operation of its own,
// since an order that is sent again is meant again. One without an acknowledgement may take effect late or never; but not
// after the acknowledgement of a sending that began after it was given up.
func (h *modelHistory) linearizableZone(zone string, within time.Duration) porcupine.CheckResult {
	model := &porcupine.NondeterministicModel{
		Init: func() []any { return []any{false} },
		Step: func(state, input, _ any) []any {
			switch in := input.(type) {
			case zoneSight:
				if state == any(in.evacuated) {
					return []any{state}
				}
			case zoneTry:
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
	for _, o := range h.orders {
		if o.change.Zone != zone {
			continue
		}
		for _, try := range o.tries {
			end := try.ended
			if !try.acknowledged {
				end = h.fencedAt(zone, try.ended)
			}
			add(zoneTry{try, o.change.Op == controlstate.OpEvacuate}, try.called, end)
		}
	}
	for _, s := range h.seen {
		if s.zone == zone {
			add(s, s.at, s.at)
		}
	}
	return porcupine.CheckOperationsTimeout(model.ToModel(), operations, within)
}

// fencedAt is the first acknowledgement of a sending for the zone that began after a moment.
func (h *modelHistory) fencedAt(zone string, moment time.Duration) time.Duration {
	at := time.Duration(never)
	for _, o := range h.orders {
		for _, try := range o.tries {
			if o.change.Zone == zone && try.acknowledged && try.called > moment {
				at = min(at, try.ended)
			}
		}
	}
	return at
}
