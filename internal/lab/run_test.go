package lab

import (
	"context"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/plan"
	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// TestLastReadsEndTogether: however many entries there are, a run whose registry nodes are gone waits for its last reads once.
func TestLastReadsEndTogether(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c, err := client.New([]string{"127.0.0.1:1"}) // where nobody ever answers
		if err != nil {
			t.Fatal(err)
		}
		const keys = 30
		w := &writers{fleet: &Fleet{plan: &plan.Plan{File: &plan.File{Registry: plan.Registry{Keys: keys, WriteRate: 1}}}}, clients: []*client.Client{c}}
		over, stop := context.WithCancel(t.Context())
		stop()
		last, cancel := cancelAfter(t.Context(), over, finalReadTimeout)
		defer cancel()
		began := time.Now()
		w.run(last, over, clock.Now())
		if took := time.Since(began); took < finalReadTimeout/2 || took > finalReadTimeout+time.Second {
			t.Errorf("the last reads took %v, want %v", took, finalReadTimeout)
		}
		if len(w.records) != keys {
			t.Errorf("%d of %d last reads were noted", len(w.records), keys)
		}
	})
}
