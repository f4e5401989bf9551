//go:build !race

package main

import (
	"fmt"
	"testing"

	"gradeusher.example/gradeusher/internal/lab/soak"
)

const minWaiting = 20 // requests at a paused proxy, else nothing is shown

// TestSoakWake: a proxy that was paused for some seconds does not flood servers that turned cold meanwhile with all that waited, at
// the usual traffic and at the double, with the control plane in reach and cut off, and with another one beside it.
func TestSoakWake(t *testing.T) {
	for _, plan := range []soak.Waking{soak.WakeOne, soak.WakePartitioned, soak.WakeTwo} {
		t.Run(string(plan), func(t *testing.T) {
			for _, load := range []float64{1, 2} {
				t.Run(fmt.Sprint("load ", load), func(t *testing.T) {
					t.Parallel()
					testSoakWake(t, systemSoakCommand{Plan: string(plan), Load: load})
				})
			}
		})
	}
}

func testSoakWake(t *testing.T, c systemSoakCommand) {
	t.Helper()
	proxy, keeper, folder := buildSystem(t)
	seed := uint64(c.Load) // so that those side by side have addresses of their own
	scene := c.scenario(seed)
	r, err := soak.Play(t.Context(), soak.Options{Proxy: proxy, ControlPlane: keeper, Folder: folder, Plan: c.plan(seed, scene), Scenario: scene})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(r)
	for _, b := range r.Broken {
		t.Error(b)
	}
	if r.AnsweredAfterPause < minWaiting || r.WarmingServers == 0 || r.Served < r.Requests/4 {
		t.Errorf("too little was seen: %d waited at the proxy, %d servers were sent requests while cold, %d of %d requests were served", r.AnsweredAfterPause,
			r.WarmingServers, r.Served, r.Requests)
	}
}
