package pick

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/conf"
)

// TestOverloadedReaders has prompts wait at all servers, as far as the loads of all proxies tell: a request of lower rank is refused
// before one of the highest, and nothing is refused while one server has nothing to read.
func TestOverloadedReaders(t *testing.T) {
	const aim = time.Second
	urgent := &conf.Route{Name: "urgent", Host: "u", Prefix: "/", Category: conf.Streaming, Timeout: 8 * time.Second, Aim: aim, MaxTries: 1,
		Shares: []conf.Share{{Service: "lm", Weight: 1}}}
	lower := *urgent
	lower.Name, lower.Host, lower.Priority = "lower", "l", 1
	for _, c := range []struct {
		name        string
		queued      []int64 // prompt tokens that wait at each server, of which 50 are read in a millisecond
		lower, most Verdict
	}{
		{"nothing waits", []int64{0, 0, 0}, Send, Send},
		{"one server has nothing to read", []int64{60_000, 60_000, 0}, Send, Send},
		{"a little waits at all", []int64{4_000, 60_000, 60_000}, Send, Send},
		{"over a third of the aim waits at all", []int64{20_000, 20_000, 20_000}, Refuse, Send},
		{"as long as the aim waits at all", []int64{60_000, 60_000, 60_000}, Refuse, Refuse},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := laneWorld(len(c.queued))
			loads := map[string]Load{}
			for i, s := range p.groups["lm"].servers {
				loads[s.ID] = Load{Requests: 1, Prefill: c.queued[i]}
			}
			p.SetLoads(time.Second, loads)
			for route, want := range map[*conf.Route]Verdict{&lower: c.lower, urgent: c.most} {
				r := &Request{Route: route, TokensIn: 500, TokensOut: 50, Left: 8 * time.Second}
				got := p.Choose(time.Second, r, nil, false)
				if got.Verdict != want {
					t.Errorf("%s: verdict %d, want %d", route.Name, got.Verdict, want)
				}
				if got.Verdict == Refuse && got.RetryAfter < 100*time.Millisecond {
					t.Errorf("%s: come back after %v", route.Name, got.RetryAfter)
				}
			}
		})
	}
}

// TestRegionOnItsOwn plays a region whose clients have only its own servers left, too few to read all prompts. Danger: all are taken
// and all are late, also the urgent ones, which the servers have time for (a tenth
// of them in time).
func TestRegionOnItsOwn(t *testing.T) {
	sc := maktab()
	sc.length = 14 * time.Second
	sc.zones = []string{"sa", "sb"}
	sc.engines = map[string]int{"sa": 7, "sb": 7}
	sc.traffic = map[string]float64{"sa": 85, "sb": 85}
	sc.kinds = append([]kind(nil), sc.kinds[0], sc.kinds[1])
	f := newFleet(sc)
	f.run()
	text, _ := f.report()
	t.Logf("\n%s", text)
	urgent, lower := f.tallies["booking-confirm"], f.tallies["policy-digest"]
	if share := float64(urgent.inTime) / float64(urgent.asked); share < 0.5 {
		t.Errorf("%.3f of the urgent requests in time, of 0.5", share)
	}
	if share := float64(lower.inTime+lower.late) / float64(lower.asked); share < 0.5 {
		t.Errorf("%.3f of the others served, of 0.5", share)
	}
}
