package distribution

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// maxListLag is how long after the true end proxies may consider a server cold here: more than all delays of a case together.
const maxListLag = time.Second

// TestWarmUpNeverEndsEarly: however long the list was in transit, and on whichever part of the path, no proxy considers a server warm
// before it is. Otherwise all proxies would send it their waiting requests, and overload it (FAILBACK). Nor does a proxy consider it cold
// for much longer.
func TestWarmUpNeverEndsEarly(t *testing.T) {
	const ms = time.Millisecond //nolint:varnamelen // the unit of the table below
	none, near, far := transit{}, transit{35 * ms, 35 * ms}, transit{110 * ms, 110 * ms}
	for name, test := range map[string]struct{ read, share, follow, ask transit }{
		"no delay":                      {none, none, none, none},
		"reading":                       {near, none, none, none},
		"reading, answered at once":     {transit{0, 200 * ms}, none, none, none},
		"reading, answered late":        {transit{200 * ms, 0}, none, none, none},
		"share, near":                   {none, near, none, none},
		"share, far":                    {none, far, none, none},
		"share, slow there":             {none, transit{110 * ms, 35 * ms}, none, none},
		"share, slow back":              {none, transit{35 * ms, 110 * ms}, none, none},
		"proxy":                         {none, none, near, none},
		"proxy, slow there":             {none, none, transit{110 * ms, 0}, none},
		"neighbour":                     {none, none, none, near},
		"neighbour, slow there":         {none, none, none, transit{110 * ms, 0}},
		"all near":                      {near, near, near, near},
		"all far, the reading answered": {transit{0, 200 * ms}, far, far, far},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				path := newWarmUpPath(t, test.share)
				path.server.warmUpEnd = time.Now().Add(3 * time.Second)
				for time.Until(path.server.warmUpEnd) > -maxListLag {
					for _, step := range []func(){
						func() { path.read(test.read) }, func() { path.synchronise(test.share) },
						func() { path.poll("other:1", test.follow) }, func() { path.queryNeighbour(test.ask) },
						func() { time.Sleep(100 * ms) },
					} {
						step()
						path.check()
					}
				}
				if len(path.early) > 0 {
					t.Errorf("the warm-up ends early by %v", path.early)
				}
				if held := path.stored(); len(held) != 2 || held["proxy"].WarmUpMax > 0 || held["neighbour"].WarmUpMax > 0 {
					t.Errorf("%v after the true end: %+v", maxListLag, held)
				}
			})
		})
	}
}

// TestLaterReadingCorrectsWarmUpEnd: a reading by which a server stays cold for longer than stored is merged, however small the
// difference is.
func TestLaterReadingCorrectsWarmUpEnd(t *testing.T) {
	for _, more := range []time.Duration{time.Millisecond, 35 * time.Millisecond, 80 * time.Millisecond, 399 * time.Millisecond, 401 * time.Millisecond} {
		t.Run(fmt.Sprint(more), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				p := newWarmUpPath(t, transit{})
				p.server.warmUpEnd = time.Now().Add(3 * time.Second)
				for range 2 {
					p.read(transit{})
					p.synchronise(transit{})
					p.poll("other:1", transit{})
					p.queryNeighbour(transit{})
					p.check()
					if len(p.early) > 0 {
						t.Fatalf("the warm-up ends early by %v", p.early)
					}
					time.Sleep(time.Second)
					p.server.warmUpEnd = p.server.warmUpEnd.Add(more)
				}
			})
		})
	}
}

// pathStep is one step on the path of a list.
type pathStep struct {
	what, node string
	transit    transit
}

// drawPathStep draws a step, with delays up to those of the slowest links.
func drawPathStep(t *rapid.T) pathStep {
	way := func(name string) time.Duration {
		return time.Duration(rapid.IntRange(0, 200).Draw(t, name)) * time.Millisecond
	}
	return pathStep{what: rapid.SampledFrom([]string{"read", "share", "follow", "ask", "pause"}).Draw(t, "what"),
		node: rapid.SampledFrom([]string{"reader:1", "other:1"}).Draw(t, "keeper"), transit: transit{out: way("out"), back: way("back")}}
}

// TestTimesErrOnTheSafeSide: in any order of readings, synchronisations, polls and queries, with any delays, no proxy considers a server
// warm before it is, and none counts on a withdrawn server for longer than its remaining time.
func TestTimesErrOnTheSafeSide(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// Shrinking makes the warm-up short, and removes the notice.
		cold := time.Duration(rapid.IntRange(1, 4000).Draw(rt, "cold")) * time.Millisecond
		notice := time.Duration(rapid.IntRange(0, 4000).Draw(rt, "notice")) * time.Millisecond
		steps := rapid.SliceOfN(rapid.Custom(drawPathStep), 1, 30).Draw(rt, "steps")
		violation := ""
		bubble.Test(t, func(t *testing.T) { violation = runSteps(t, cold, notice, steps) })
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

// runSteps performs steps on the path of a list, with a server that is cold for a time and, unless notice is 0, withdrawn after notice.
// It returns a description of the first wrong time that a proxy has.
func runSteps(t *testing.T, cold, notice time.Duration, steps []pathStep) (violation string) {
	t.Helper()
	p := newWarmUpPath(t, steps[0].transit)
	p.server.warmUpEnd = time.Now().Add(cold)
	if notice > 0 {
		p.server.withdrawnAt = time.Now().Add(notice)
	}
	for _, s := range steps {
		p.step(s)
		if violation = p.timeViolation(); violation != "" {
			return violation
		}
	}
	return ""
}

// step performs a step.
func (p *warmUpPath) step(s pathStep) {
	switch s.what {
	case "read":
		p.read(s.transit)
	case "share":
		p.synchronise(s.transit)
	case "follow":
		p.poll(s.node, s.transit)
	case "ask":
		p.queryNeighbour(s.transit)
	case "pause":
		time.Sleep(s.transit.out)
	}
}

// wrong describes a time stored by a subscriber that errs on the wrong side. A notice counts down to a millisecond, as 0 means that there
// is no notice.
func (p *warmUpPath) timeViolation() string {
	if p.check(); len(p.early) > 0 {
		return fmt.Sprintf("the warm-up ends early by %v", p.early)
	}
	for node, s := range p.stored() {
		if (s.Remaining > 0) == p.server.withdrawnAt.IsZero() {
			return fmt.Sprintf("%s: remaining time %v, but the notice ends at %v", node, s.Remaining, p.server.withdrawnAt)
		}
		if late := s.Remaining - max(0, time.Until(p.server.withdrawnAt)); late > time.Millisecond {
			return fmt.Sprintf("%s: the notice ends late by %v", node, late)
		}
	}
	return ""
}
