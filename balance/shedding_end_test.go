package balance

import (
	"fmt"
	"testing"
	"time"
)

// TestSheddingEndsWithOverload checks that after an overload, a class is refused for no longer than shedding lasts: a class whose
// answers were slow in the overload and that has had no faster answers yet, and a class of so little value that its threshold is
// below the latency of an idle server.
func TestSheddingEndsWithOverload(t *testing.T) {
	t.Run("a class that seemed heavy", func(t *testing.T) {
		simulation := newSheddingSimulation(t, 1)
		if simulation.b.meanSeconds[0] < 20*simulation.b.meanSeconds[1] {
			t.Fatalf("mean times by class are %.3f after the overload, want the first at least 20 times the second", simulation.b.meanSeconds)
		}
		for range 400 {
			simulation.sendRequest(1, 30*time.Millisecond)
		}
		if simulation.b.meanSeconds[0] > 3*simulation.b.meanSeconds[1] {
			t.Errorf("mean times %.3f s and %.3f s after 400 answers of the second class", simulation.b.meanSeconds[0], simulation.b.meanSeconds[1])
		}
		refused, late := simulation.refusedWhileShedding()
		if late > 0 {
			t.Errorf("%d requests refused after the shedding time of %v", late, memoryTTL)
		}
		if refused > 0 {
			t.Errorf("%d requests of the lower class refused during shedding although it takes no longer than the other", refused)
		}
	})
	t.Run("a class of little value", func(t *testing.T) {
		if _, late := newSheddingSimulation(t, 1e-4).refusedWhileShedding(); late > 0 {
			t.Errorf("%d requests refused after the shedding time of %v", late, memoryTTL)
		}
	})
}

// sheddingSimulation simulates a sidecar with two classes. The first one was slow in an overload that has just ended.
type sheddingSimulation struct {
	b   *Balancer
	h   *host
	ids RequestID
}

func newSheddingSimulation(t *testing.T, value float64) *sheddingSimulation {
	t.Helper()
	set := settings()
	set.Classes = append(set.Classes, set.Classes[0])
	set.Classes[0].Value, set.Classes[1].Value = value, 3
	var list []Endpoint
	for i := range 8 {
		list = append(list, Endpoint{ID: fmt.Sprint("e", i), Zone: "x", Kind: "big", Size: 1})
	}
	p := &sheddingSimulation{}
	p.b, p.h = start(t, set, list)
	for i := range 400 {
		p.sendRequest(i%2, []time.Duration{2 * time.Second, 30 * time.Millisecond}[i%2])
	}
	return p
}

// sendRequest sends a request and reports whether it was refused.
func (p *sheddingSimulation) sendRequest(class int, took time.Duration) (refused bool) {
	p.ids++
	p.b.Request(p.h.now, Request{ID: p.ids, Class: class, Tenant: -1, TimeLeft: 3 * time.Second})
	p.h.now += 10 * time.Millisecond
	if len(p.h.sent) == 0 {
		return true
	}
	p.b.Result(p.h.now, Result{ID: p.ids, Endpoint: p.h.sent[0].to, Latency: took, Finished: true})
	p.h.sent = nil
	return false
}

// refusedWhileShedding returns the number of refusals of the first class once shedding starts, and how many of them came after
// shedding should have ended.
func (p *sheddingSimulation) refusedWhileShedding() (refused, late int) {
	began := p.h.now
	p.b.sheddingUntil = began + memoryTTL
	for p.h.now < began+3*memoryTTL {
		if p.h.now%tickInterval == 0 {
			p.b.Timer(p.h.now, tickToken)
		}
		p.sendRequest(1, 30*time.Millisecond)
		if !p.sendRequest(0, 30*time.Millisecond) {
			continue
		}
		refused++
		if p.h.now > began+memoryTTL+tickInterval {
			late++
		}
	}
	return refused, late
}
