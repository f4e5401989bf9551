package promptpool

import (
	"math"
	"testing"
	"time"
)

// TestDemandDecays checks that older work counts less.
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
			p.Adjust(-2*minResizeInterval, 10, 20) // a target is known
			p.resized, p.resizedAt = true, 0
			p.Adjust(test.now, test.target, 20)
			if p.Size() != test.want {
				t.Errorf("size %d, want %d", p.Size(), test.want)
			}
		})
	}
}

// TestBothKindsKeepAServer shrinks a region: neither kind of prompt loses its last server.
func TestBothKindsKeepAServer(t *testing.T) {
	var p Pool
	for servers := 20; servers >= 2; servers-- {
		p.SetServers(servers)
		p.Adjust(time.Duration(30-servers)*time.Minute, float64(servers), float64(servers))
		if p.Size() < 1 || p.Size() > servers-1 {
			t.Fatalf("a pool of %d of %d servers", p.Size(), servers)
		}
	}
}

func TestMix(t *testing.T) {
	var m Mix
	if m.HasLong(0) || m.HasShort(0, 1) {
		t.Error("a kind of prompt is present before any was recorded")
	}
	m.RecordLong(0)
	m.RecordShort(time.Second, 1)
	if !m.HasLong(MixTTL) || m.HasLong(MixTTL+1) || !m.HasShort(MixTTL+time.Second, 1) || m.HasShort(0, 2) {
		t.Error("want a kind to be present for MixTTL after its last prompt, and only in its region")
	}
}

// TestFirstMove has a target become known for the first time: the pool
// waits until it has been known for a while, and then goes all the way.
func TestFirstMove(t *testing.T) {
	const start = time.Minute
	var p Pool
	p.SetServers(20)
	for _, test := range []struct {
		after  time.Duration
		target float64
		want   int
	}{{0, 18, 10}, {minResizeInterval - 1, 18, 10}, {minResizeInterval, 17, 17}, {2 * minResizeInterval, 9, 15}} {
		p.Adjust(start+test.after, test.target, 20)
		if p.Size() != test.want {
			t.Errorf("%v after the target was known: size %d, want %d", test.after, p.Size(), test.want)
		}
	}
}

// TestDivision divides long prompts among 50 servers of regions with short prompts and 40 of regions
// without: pools provide what the separate regions lack, and a share near the threshold changes nothing.
func TestDivision(t *testing.T) {
	var division Division
	if division.Suffices() {
		t.Error("the separate regions suffice before any work was seen")
	}
	regions := RegionServers{Pooled: 50, Separate: 40}
	for _, step := range []struct {
		share, pooled float64
		suffices      bool
	}{
		{0.9, 41.0 / 50, false},
		{0.5, 5.0 / 50, false},
		{40.0 / 90, 0, false}, // just enough, but near the threshold
		{33.0 / 90, 0, false}, // seven of 40 left over
		{32.0 / 90, 0, true},  // a fifth is left over
		{40.0 / 90, 0, true},  // still enough
		{41.0 / 90, 0.02, false},
	} {
		if pooled := division.Divide(step.share, regions); math.Abs(pooled-step.pooled) > 1e-9 || division.Suffices() != step.suffices {
			t.Errorf("share %.3f: pools of %.3f, suffices %v; want %.3f, %v", step.share, pooled, division.Suffices(), step.pooled, step.suffices)
		}
	}
	if pooled := division.Divide(0.3, RegionServers{Pooled: 90}); pooled != 0.3 || division.Suffices() {
		t.Errorf("without separate regions: pools of %.3f, suffices %v", pooled, division.Suffices())
	}
	if pooled := division.Divide(0.3, RegionServers{Separate: 90}); pooled != 0 || !division.Suffices() {
		t.Errorf("with separate regions alone: pools of %.3f, suffices %v", pooled, division.Suffices())
	}
}

// TestLimit has short prompts need servers of the pool: the pool gives them up in one move, and takes them back in bounded moves.
func TestLimit(t *testing.T) {
	var p Pool
	p.SetServers(20)
	p.Adjust(0, 16, 20)
	now := minResizeInterval
	for _, step := range []struct {
		limit float64
		want  int
	}{{20, 16}, {15.5, 16}, {5, 5}, {5.7, 5}, {20, 7}, {20, 9}, {0, 1}} {
		p.Adjust(now, 16, step.limit)
		if now += minResizeInterval; p.Size() != step.want {
			t.Errorf("limit %v: size %d, want %d", step.limit, p.Size(), step.want)
		}
	}
}

// TestPresume checks that as long as nothing is known of the work, pools and regions are sized for half of all servers for long prompts.
func TestPresume(t *testing.T) {
	var d Division
	if pooled := d.Presume(RegionServers{Pooled: 51, Separate: 39}); math.Abs(pooled-6.0/51) > 1e-9 || d.Suffices() {
		t.Errorf("presumed share: pools of %.3f, suffices %v", pooled, d.Suffices())
	}
	if pooled := d.Presume(RegionServers{Pooled: 30, Separate: 60}); pooled != 0 || !d.Suffices() {
		t.Errorf("a large separate region: pools of %.3f, suffices %v", pooled, d.Suffices())
	}
	d.Divide(0.9, RegionServers{Pooled: 30, Separate: 60})
	if d.Presume(RegionServers{Pooled: 30, Separate: 60}); d.Suffices() {
		t.Error("a presumed share replaced a known one")
	}
	var p Pool
	p.SetServers(20)
	if p.Presume(3.4); p.Size() != 3 {
		t.Errorf("size %d, want 3", p.Size())
	}
	p.Adjust(0, 8, 20)
	if p.Presume(12); p.Size() != 3 {
		t.Errorf("size %d, want 3: a target is known", p.Size())
	}
}
