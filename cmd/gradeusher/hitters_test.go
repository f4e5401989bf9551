package main

import (
	"encoding/json"
	"testing"

	"gradeusher.example/gradeusher/internal/lab"
)

// TestHeavyClients floods real sidecars, of which one is killed and some are cut off: the flood gives way, and nobody else.
func TestHeavyClients(t *testing.T) {
	t.Parallel()
	c := newCommand(t, "lab", "run", "testdata/hitters.toml", "--json")
	code := c.waitForExit(t)
	var r lab.Result
	if err := json.Unmarshal(c.out.Bytes(), &r); err != nil {
		t.Fatalf("exit %d, %v: %s", code, err, &c.err)
	}
	for _, v := range r.Verdicts {
		if v.Broken > 0 {
			t.Errorf("%s: %v", v.Name, v.Detail)
		}
	}
	t.Logf("precision %v, recall %v, after %v ms, %v gave way, sound clients lost %v", r.Figures["hitter_precision"],
		r.Figures["hitter_recall"], r.Figures["hitter_delay_ms"], r.Figures["hitter_yields"], r.Figures["hitter_sound_loss"])
}
