package promptpool

import (
	"testing"
	"time"
)

// TestDemandDecays counts work less the longer ago it was.
func TestDemandDecays(t *testing.T) {
	var d Demand
	d.Add(0, true, 1000)
	d.Add(MixTTL, false, 1000)
	if d.Short != 1000 || d.Long < 367 || d.Long > 368 {
		t.Errorf("long %.0f and short %.0f, want 1/e of 1000 and 1000", d.Long, d.Short)
	}
}

// TestAdjust moves a pool of 10 of 20 servers once.
func TestAdjust(t *testing.T) {
	for _, test := range []struct {
		name   string
		now    time.Duration
		target float64
		want   int
	}{
		{"within the deviation", time.Minute, 10.75, 10},
		{"one server at least", time.Minute, 11, 11},
		{"a quarter of the distance", time.Minute, 18, 12},
		{"down", time.Minute, 1, 8},
		{"too soon", minResizeInterval - 1, 18, 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			var p Pool
			p.SetServers(20)
			p.Adjust(test.now, test.target)
			if p.Size() != test.want {
				t.Errorf("size %d, want %d", p.Size(), test.want)
			}
		})
	}
}

// TestBothKindsKeepAServer shrinks a region: neither kind loses its last server.
func TestBothKindsKeepAServer(t *testing.T) {
	var p Pool
	for servers := 20; servers >= 2; servers-- {
		p.SetServers(servers)
		p.Adjust(time.Duration(30-servers)*time.Minute, float64(servers))
		if p.Size() < 1 || p.Size() > servers-1 {
			t.Fatalf("a pool of %d of %d servers", p.Size(), servers)
		}
	}
}

func TestMix(t *testing.T) {
	var m Mix
	if m.HasLong(0) || m.HasShort(0, 1) {
		t.Error("prompts before any came")
	}
	m.RecordLong(0)
	m.RecordShort(time.Second, 1)
	if !m.HasLong(MixTTL) || m.HasLong(MixTTL+1) || !m.HasShort(MixTTL+time.Second, 1) || m.HasShort(0, 2) {
		t.Error("a kind counts as present for MixTTL after the last prompt, and only in its region")
	}
}
