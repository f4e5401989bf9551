package check

import (
	"fmt"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/load"
	"gradeusher.example/gradeusher/internal/lab/plan"
)

const flooder = 1 << 22 // the first client of the first fault

// TestHitterFigures lets a client flood two sidecars from 5 s on with half of the work; its requests yield, or not, as a case says.
func TestHitterFigures(t *testing.T) {
	for _, test := range []struct {
		name  string
		yield func(client, sidecar int, at time.Duration) bool
		want  Figures // 0: not measured
	}{
		{"nobody yields", func(int, int, time.Duration) bool { return false }, Figures{"hitter_recall": 0, "hitter_delay_ms": 15000}},
		{"just the one", func(client, _ int, at time.Duration) bool { return client == flooder && at >= 7*time.Second },
			Figures{"hitter_precision": 1, "hitter_recall": 1, "hitter_delay_ms": 2000}},
		{"at one sidecar", func(client, sidecar int, at time.Duration) bool {
			return client == flooder && sidecar == 0 && at >= 7*time.Second
		},
			Figures{"hitter_precision": 1, "hitter_recall": 0.5, "hitter_delay_ms": 2000}},
		{"others too", func(_, _ int, at time.Duration) bool { return at >= 7*time.Second },
			Figures{"hitter_precision": 0.5, "hitter_recall": 1, "hitter_delay_ms": 2000}},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := Figures{}
			floodedRun(t, test.yield).hitterFigures(got)
			for _, name := range []string{"hitter_precision", "hitter_recall", "hitter_delay_ms"} {
				value, known := got[name]
				want, wanted := test.want[name]
				if known != wanted || value < 0.98*want || value > 1.03*want {
					t.Errorf("%s is %v (%v), want %v (%v)", name, value, known, want, wanted)
				}
			}
		})
	}
}

// floodedRun is a run of 20 s with a flood from 5 to 15 s, in which servers are full and requests yield as yield says.
func floodedRun(t *testing.T, yield func(client, sidecar int, at time.Duration) bool) *Evidence {
	t.Helper()
	file, err := plan.Parse("x.toml", []byte("states = \"x\"\nseconds = 20\n[load]\nrate = 1\nclients = 100\n[fleet]\nsidecars = 2\n"+
		"[hitters]\non = true\n[[fault]]\ndo = \"flood\"\nat = 5\nfor = 10\nsize = 1.0\n"))
	if err != nil {
		t.Fatal(err)
	}
	evidence := &Evidence{Plan: &plan.Plan{File: file}}
	for number := range 20 * 40 {
		at := time.Duration(number) * 25 * time.Millisecond
		client := number%50 + 1
		if number%4 >= 2 && at >= 5*time.Second && at < 15*time.Second {
			client = flooder
		}
		evidence.Plan.Arrivals = append(evidence.Plan.Arrivals, plan.Arrival{At: at, Client: client, Sidecar: number % 2, Work: time.Second})
		attempt := load.Attempt{ID: fmt.Sprint(number), Arrival: number, Sidecar: number % 2, Status: 200, Ended: int64(at) + int64(time.Millisecond)}
		switch {
		case yield(client, number%2, at) && at < 15*time.Second:
			attempt.Status, attempt.RetryAfter = 503, 1500*time.Millisecond
		case number%10 == 0: // full: rejected with a short Retry-After, or after an attempt at a server
			attempt.Status, attempt.RetryAfter = 503, 200*time.Millisecond
		case number%10 == 1:
			attempt.Status, attempt.RetryAfter = 503, 1500*time.Millisecond
			evidence.ServerAttempts = append(evidence.ServerAttempts, ctl.Attempt{ID: attempt.ID})
		}
		evidence.ClientAttempts = append(evidence.ClientAttempts, attempt)
	}
	return evidence
}

// TestFloodLoss counts by hand: of sound clients, what is served without the flood less what is with it, within the time that counts.
func TestFloodLoss(t *testing.T) {
	f, err := plan.Parse("x.toml", []byte("states = \"x\"\nseconds = 20\n[load]\nrate = 1\n[[fault]]\ndo = \"flood\"\nat = 5\nfor = 10\nsize = 1.0\n"))
	if err != nil {
		t.Fatal(err)
	}
	play := func(floods bool, refused int) *Evidence { // one request a second, and the flooder's, all refused; of those in 8 to 15 s some are refused
		evidence := &Evidence{Plan: &plan.Plan{File: f}}
		for s := range 20 {
			for _, client := range []int{1, 1 << 22} {
				if client > 1 && !floods {
					continue
				}
				at := time.Duration(s) * time.Second
				evidence.Plan.Arrivals = append(evidence.Plan.Arrivals, plan.Arrival{At: at, Client: client, Work: time.Second})
				try := load.Attempt{Arrival: len(evidence.Plan.Arrivals) - 1, Status: 200, Ended: int64(at) + 1}
				if client > 1 || s < 8 || s >= 8 && s < 8+refused {
					try.Status = 503
				}
				evidence.ClientAttempts = append(evidence.ClientAttempts, try)
			}
		}
		return evidence
	}
	evidence, got := play(true, 3), Figures{}
	if evidence.floodLossFigure(got); len(got) != 0 {
		t.Errorf("without a twin: %v", got)
	}
	evidence.WithoutFloods = play(false, 1)
	evidence.floodLossFigure(got)
	expectNear(t, "loss", got["hitter_sound_loss"], 2.0/7)
}
