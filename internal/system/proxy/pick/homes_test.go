package pick

import (
	"slices"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
)

// TestHomes sends prompts with shared parts through proxies that do not communicate, two in one zone and one in another
// region: they agree on the server that prefills a shared part. Long prompts go to a separate region without short prompts,
// if it suffices for their work; otherwise also to pools in the regions that get both kinds. Short prompts go elsewhere.
func TestHomes(t *testing.T) {
	for _, test := range []struct {
		name   string
		layout homesLayout
	}{{"a separate region", separateRegion}, {"a separate region that is too small", smallSeparateRegion}, {"pools", noSeparateRegion}} {
		t.Run(test.name, func(t *testing.T) { newHomesRun(t, test.layout).check() })
	}
}

// homesLayout determines where short prompts arrive.
type homesLayout int

const (
	separateRegion      homesLayout = iota // in one of two regions; the other one suffices for the long prompts
	smallSeparateRegion                    // in one of two regions; the other one does not suffice
	noSeparateRegion                       // in all regions
)

// homesRun is a fleet that gets long and short prompts, and three of its proxies.
type homesRun struct {
	*testing.T
	first, second, far *Picker // the first two in one zone, the third in another region
	long, short        *config.Route
	layout             homesLayout
	now                Time
}

func newHomesRun(t *testing.T, layout homesLayout) *homesRun {
	fleet := newSimulation(aula())
	run := &homesRun{T: t, first: fleet.pickers[0], second: fleet.pickers[1], long: fleet.cfg.Routes[0], short: fleet.cfg.Routes[1], layout: layout}
	run.far = fleet.pickers[slices.IndexFunc(fleet.pickers, func(picker *Picker) bool { return picker.settings.Region != run.first.settings.Region })]
	for _, picker := range fleet.pickers {
		switch layout {
		case separateRegion: // 8 of 18 servers
			learnShare(picker, 300_000, 700_000)
		case smallSeparateRegion:
			learnShare(picker, 900_000, 100_000)
		}
	}
	if layout == noSeparateRegion {
		everywhere := *run.short
		everywhere.HomeRegions = nil
		run.short = &everywhere
	}
	return run
}

// learnShare records short prompts in region cluj and, for two seconds, a demand of the peers in tokens of long and of short prompts.
func learnShare(picker *Picker, long, short int64) {
	for now := Time(0); now <= 2*time.Second; now += 200 * time.Millisecond {
		for region, name := range picker.regions.names {
			if name == "cluj" {
				picker.groups["lm"].mix.RecordShort(now, region)
			}
		}
		updateDemand(picker, now, long, short)
	}
}

func (run *homesRun) check() {
	homes, regions := map[string]bool{}, map[string]bool{}
	for sharedPart := range uint64(20) {
		for _, p := range []*Picker{run.first, run.second, run.far} { // pools exist only if there are short prompts
			run.send(p, &Request{Route: run.short, TokensIn: 300, MaxTokensOut: 50})
		}
		home := run.homeOf(sharedPart)
		homes[home.ID], regions[home.Region] = true, true
	}
	if run.layout != separateRegion && len(regions) < 2 {
		run.Fatalf("all shared parts have their homes in %v", regions)
	}
	if len(homes) < 2 {
		run.Fatal("all shared parts have the same home")
	}
	for i := range 20 {
		s := run.send(run.first, &Request{Route: run.short, TokensIn: 300, MaxTokensOut: 50,
			Prefix: []PrefixPart{{ID: 7, Tokens: 50}, {ID: uint64(5000 + i), Tokens: 250}}})
		atHome := run.layout == noSeparateRegion || s.Region == "cluj"
		if !atHome || run.layout != separateRegion && s.inPromptPool {
			run.Fatalf("a short prompt went to %s, which is in a pool or outside its home regions", s.ID)
		}
	}
}

// homeOf sends long prompts that share a part, and returns the server to which all of them went.
func (run *homesRun) homeOf(sharedPart uint64) *server {
	run.Helper()
	sendLong := func(p *Picker, own uint64) *server {
		return run.send(p, &Request{Route: run.long, TokensIn: 16000, MaxTokensOut: 100, Prefix: []PrefixPart{{ID: sharedPart, Tokens: 13000}, {ID: own, Tokens: 3000}}})
	}
	a, b, c, d := sendLong(run.first, 1000+sharedPart), sendLong(run.first, 2000+sharedPart), sendLong(run.second, 3000+sharedPart), sendLong(run.far, 4000+sharedPart)
	if a != b || a.ID != c.ID || a.ID != d.ID {
		run.Fatalf("shared part %d went to %s, %s, %s and %s, want one server", sharedPart, a.ID, b.ID, c.ID, d.ID)
	}
	isSeparate := run.layout != noSeparateRegion && a.Region == "iasi"
	if !isSeparate && (run.layout == separateRegion || !a.inPromptPool) {
		run.Fatalf("shared part %d went to %s, which is in no pool or in a region with short prompts", sharedPart, a.ID)
	}
	return a
}

// send picks a server for a request and completes the request there.
func (run *homesRun) send(p *Picker, r *Request) *server {
	run.Helper()
	run.now += 300 * time.Millisecond
	r.TimeLeft = 5 * time.Second
	result := p.Pick(run.now, r, nil, false)
	if result.Decision != Send {
		run.Fatalf("decision %d, want Send", result.Decision)
	}
	p.FirstEvent(run.now+250*time.Millisecond, result.Ticket)
	p.Done(run.now+250*time.Millisecond, result.Ticket, Served, 0)
	return p.servers[result.Server.ID]
}
