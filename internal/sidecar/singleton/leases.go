// Package duty is a process that holds duties: when it may act under which epoch, and the calls, timers and works around that.
package singleton

import (
	"maps"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// Instant is a time of the holder's clock, since any start. The clock never goes back and counts sleep of the machine.
type Instant = time.Duration

// Lease is a duty that a process may hold.
type Lease struct {
	Name              string
	Epoch             int64
	Until             Instant // it may act before that
	HandoverRequested bool    // it is to finish its step and hand over
	Step              string  // what the office before recorded, and its number, as of the last renewal
	StepNo            int64
}

// Leases is what a process knows of the duties that it holds. It has no I/O and no clock.
//
// Invariants: it may act under an epoch only before the time at which a renewal that was answered was sent + the lease - the margin;
// an epoch that is over for it, lapsed or let go, never begins again.
type Leases struct {
	margin      func(lease time.Duration) time.Duration
	leases      map[string]*Lease
	endedEpochs map[string]int64 // by duty: the highest epoch that is
}

// NewLeases holds nothing. margin is how long before the end of a lease it stops; nil: state.RoleLeaseMargin.
func NewLeases(margin func(lease time.Duration) time.Duration) *Leases {
	if margin == nil {
		margin = state.RoleLeaseMargin
	}
	return &Leases{margin: margin, leases: map[string]*Lease{}, endedEpochs: map[string]int64{}}
}

// Renewed takes the answer to a renewal that was sent at a time; answers come in the order in which their renewals were sent. It
// returns the offices that begin, and those that the keepers have this process hold though they are over for it: it has to
// release them. Danger: the time has to be looked at before the call is sent, also where it is sent again.
func (h *Leases) Renewed(sent, now Instant, all []client.OwnedRole) (begin []Lease, let []Lease) {
	h.Expire(now)
	here := map[string]bool{}
	for _, d := range all {
		here[d.Name] = true
		o := h.leases[d.Name]
		lease := time.Duration(d.TTLMS) * time.Millisecond
		until := sent + lease - h.margin(lease)
		switch {
		case d.Epoch <= h.endedEpochs[d.Name]:
			let = append(let, Lease{Name: d.Name, Epoch: d.Epoch, StepNo: d.StepNo})
			continue
		case o != nil && o.Epoch != d.Epoch: // it was lost and given again
			h.end(o)
			o = nil
		}
		if o == nil {
			if !d.Renewed || until <= now {
				continue // the next renewal may begin it
			}
			o = &Lease{Name: d.Name, Epoch: d.Epoch}
			h.leases[d.Name] = o
			begin = append(begin, Lease{Name: d.Name, Epoch: d.Epoch, Until: until, HandoverRequested: d.HandoverRequested, Step: d.Step, StepNo: d.StepNo})
		}
		if d.Renewed {
			o.Until = max(o.Until, until)
		}
		o.HandoverRequested, o.Step, o.StepNo = d.HandoverRequested, d.Step, d.StepNo
	}
	for name, o := range h.leases {
		if !here[name] {
			h.end(o)
		}
	}
	return begin, let
}

func (h *Leases) end(o *Lease) {
	h.endedEpochs[o.Name] = max(h.endedEpochs[o.Name], o.Epoch)
	delete(h.leases, o.Name)
}

// Lease is an office that a process may act in now.
func (h *Leases) Lease(now Instant, name string, epoch int64) (Lease, bool) {
	o := h.leases[name]
	if o == nil || o.Epoch != epoch || now >= o.Until {
		return Lease{}, false
	}
	return *o, true
}

// Release ends an office, before it is released.
func (h *Leases) Release(name string, epoch int64) {
	h.endedEpochs[name] = max(h.endedEpochs[name], epoch)
	if o := h.leases[name]; o != nil && o.Epoch <= epoch {
		h.end(o)
	}
}

// Expire ends the offices whose time is over.
func (h *Leases) Expire(now Instant) {
	for _, name := range slices.Sorted(maps.Keys(h.leases)) {
		if o := h.leases[name]; now >= o.Until {
			h.end(o)
		}
	}
}
