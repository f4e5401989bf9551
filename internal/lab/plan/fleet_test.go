package plan

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

func makePlan(t *testing.T, text string) *Plan {
	t.Helper()
	plan, err := Make(parse(t, text), 4)
	if err != nil {
		t.Fatal(err)
	}
	return plan
}

// TestJoinAndLeave lets sidecars join and leave: clients send to none that does not run, and the rate stays the same.
func TestJoinAndLeave(t *testing.T) {
	plan := makePlan(t, "states = \"x\"\nseconds = 40\n[fleet]\nsidecars = 10\n[load]\nrate = 200\nuneven = 0.5\n"+
		"[[fault]]\ndo = \"join\"\nat = 10\nfor = 2\ncount = 10\n[[fault]]\ndo = \"leave\"\nat = 24\nfor = 2\npart = 0.5\n")
	if n, m := len(plan.Sidecars), plan.runningAt(20*time.Second); n != 20 || m != 20 || plan.runningAt(30*time.Second) != 10 || plan.Sidecars[0].Peers != 10 || plan.Sidecars[19].Peers != 20 {
		t.Fatalf("%d sidecars, %d at once: %+v", n, m, plan.Sidecars)
	}
	starts, ends := map[int]time.Duration{}, map[int]time.Duration{}
	for _, s := range plan.Steps {
		if s.Do == Start {
			starts[s.Sidecar] = s.At
		} else {
			ends[s.Sidecar] = s.At
		}
	}
	if len(starts) != 10 || len(ends) != 10 {
		t.Errorf("%d start and %d end", len(starts), len(ends))
	}
	after := map[int]int{} // by sidecar, of those that joined
	for _, a := range plan.Arrivals {
		if end, ok := ends[a.Sidecar]; ok && a.At >= end || a.Sidecar >= 10 && a.At < starts[a.Sidecar]+joinLead {
			t.Fatalf("at %v to sidecar %d, from %v to %v", a.At, a.Sidecar, starts[a.Sidecar], end)
		}
		if a.Sidecar >= 10 {
			after[a.Sidecar]++
		}
	}
	if len(after) != 10 || math.Abs(float64(len(plan.Arrivals))/8000-1) > 0.05 {
		t.Errorf("%d requests, %v", len(plan.Arrivals), after)
	}
}

// TestRoll ends and restarts every sidecar once, a batch at a time.
func TestRoll(t *testing.T) {
	p := makePlan(t, head+"[fleet]\nsidecars = 20\n[[fault]]\ndo = \"roll\"\nat = 4\nfor = 16\nbatch = 0.1\nrestart = 0.2\n")
	at := map[time.Duration]int{}
	ended := map[int]time.Duration{}
	for _, s := range p.Steps {
		if s.Do == Term {
			at[s.At]++
			ended[s.Sidecar] = s.At
		} else if s.At-ended[s.Sidecar] != 200*time.Millisecond {
			t.Errorf("sidecar %d ends at %v and starts at %v", s.Sidecar, ended[s.Sidecar], s.At)
		}
	}
	if len(ended) != 20 || len(at) != 10 || at[4*time.Second] != 2 {
		t.Errorf("ends %v", at)
	}
}

// TestClients draws named clients with the skew, a burst that raises the rate, and floods through the sidecars that they should use.
func TestClients(t *testing.T) {
	plan := makePlan(t, "states = \"x\"\nseconds = 100\n[fleet]\nsidecars = 10\n[load]\nrate = 100\nclients = 50\nskew = 1\n"+
		"[[fault]]\ndo = \"burst\"\nat = 20\nfor = 20\nsize = 0.5\nzone = \"room-b\"\n"+
		"[[fault]]\ndo = \"flood\"\nat = 50\nfor = 10\nsize = 0.3\ncount = 2\nthrough = 1\n"+
		"[[fault]]\ndo = \"flood\"\nat = 70\nfor = 10\nsize = 0.3\ndistinct = true\n")
	counts := countRequests(t, plan)
	if sum := 4.4992; math.Abs(float64(counts.own[1])/11000*sum-1) > 0.1 || len(counts.own) != 50 || counts.own[0] != 0 { // the 50th harmonic number
		t.Errorf("the first of %d clients asks %d times", len(counts.own), counts.own[1])
	}
	if math.Abs(float64(counts.burst)/2000-1) > 0.1 {
		t.Errorf("%d requests in the burst's room, want 1000 and as many more", counts.burst)
	}
	if len(counts.flood) != 2 || len(counts.through) != 1 {
		t.Errorf("floods %v through %v", counts.flood, counts.through)
	}
	for client, n := range counts.flood {
		if math.Abs(float64(n)/300-1) > 0.25 {
			t.Errorf("%s floods %d times, want 300", ClientName(client), n)
		}
	}
	if n := len(counts.distinct); math.Abs(float64(n)/300-1) > 0.25 {
		t.Errorf("%d clients of the distinct flood, want 300", n)
	}
}

// requestCounts are the requests of TestClients by who sends them.
type requestCounts struct {
	own, flood        map[int]int  // by client: of the load, and of the flood through one sidecar
	through, distinct map[int]bool // sidecars of that flood; clients of the distinct flood
	burst             int          // in the zone and time of the burst
}

func countRequests(t *testing.T, plan *Plan) requestCounts {
	t.Helper()
	counts := requestCounts{own: map[int]int{}, flood: map[int]int{}, through: map[int]bool{}, distinct: map[int]bool{}}
	for i, arrival := range plan.Arrivals {
		if i > 0 && arrival.At < plan.Arrivals[i-1].At {
			t.Fatal("arrivals run backwards")
		}
		fault, floods := Flooder(arrival.Client)
		switch {
		case floods && fault == 1:
			counts.flood[arrival.Client]++
			counts.through[arrival.Sidecar] = true
		case floods:
			counts.distinct[arrival.Client] = true
		default:
			counts.own[arrival.Client]++
		}
		if arrival.At >= 20*time.Second && arrival.At < 40*time.Second && plan.Sidecars[arrival.Sidecar].Zone == "room-b" {
			counts.burst++
		}
	}
	return counts
}

// TestWithoutFloods draws the same plan but for the clients that flood, also of what is drawn after the flood.
func TestWithoutFloods(t *testing.T) {
	p := makePlan(t, head+"[hitters]\non = true\ntwin = true\n[[fault]]\ndo = \"flood\"\nat = 3\nfor = 6\nsize = 1.0\n"+
		"[[fault]]\ndo = \"burst\"\nat = 5\nfor = 5\nsize = 0.5\n")
	twin, err := p.WithoutFloods()
	if err != nil {
		t.Fatal(err)
	}
	sound := slices.DeleteFunc(slices.Clone(p.Arrivals), func(a Arrival) bool { _, floods := Flooder(a.Client); return floods })
	if len(sound) == len(p.Arrivals) || !slices.Equal(sound, twin.Arrivals) || twin.File.Hitters.Twin || p.StepsHash != twin.StepsHash {
		t.Errorf("%d arrivals, %d of sound clients, %d without the flood", len(p.Arrivals), len(sound), len(twin.Arrivals))
	}
	if from, to, ok := p.File.Flooded(time.Second); from != 4*time.Second || to != 9*time.Second || !ok {
		t.Errorf("flooded from %v to %v, %v", from, to, ok)
	}
}

// TestFalseReports gives each lie members of its own, which report a multiple of what arrives meanwhile.
func TestFalseReports(t *testing.T) {
	members := head + "[members]\non = true\n[hitters]\non = true\n"
	lie := "[[fault]]\ndo = \"lie\"\nat = 2\nfor = 5\nsize = 2.0\ncount = 2\nnames = [\"t1\", \"t2\"]\n"
	plan := makePlan(t, members+lie+lie)
	work := 0.0
	for _, a := range plan.Arrivals {
		if a.At >= 2*time.Second && a.At < 7*time.Second {
			work += a.Work.Seconds()
		}
	}
	step := plan.Steps[1]
	if plan.LyingMembers() != 4 || step.Do != FalseReports || !slices.Equal(step.Nears, []int{2, 3}) || step.Mode != "t1,t2" || step.By != Seconds(work/5*2*2) {
		t.Errorf("%d lying members, %+v, of %v s", plan.LyingMembers(), step, work)
	}
	for _, bad := range []string{head + lie, members + strings.Replace(lie, "count = 2", "count = 0", 1), members + strings.Replace(lie, "\"t1\", \"t2\"", "", 1)} {
		if _, err := Parse("x.toml", []byte(bad)); err == nil {
			t.Errorf("taken: %s", bad)
		}
	}
}
