package plan

import (
	"errors"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const head = "states = \"it holds\"\nseconds = 30\n[load]\nshare = 0.5\n"

func parse(t *testing.T, text string) *File {
	t.Helper()
	f, err := Parse("lab/x.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// TestRefused rejects each bad file with its line and a reason, before anything is started.
func TestRefused(t *testing.T) {
	for _, test := range []struct {
		text string
		line int
		says string
	}{
		{"states = \"x\"\nsecond = 3\n[load]\nshare = 1\n", 2, "unknown key"},
		{"states = \"x\"\n[load]\nshare = 1\n[fleet]\nserver = 3\n", 5, "unknown key"},
		{head + "[[fault]]\ndo = \"stop\"\nat = 1\nfor = 2\n[[fault]]\ndo = \"kill\"\nat = 3\nwhen = 4\n", 12, "unknown key"},
		{"states = \"x\nseconds", 1, ""},
		{"seconds = 3\n[load]\nshare = 1\n", 0, "states is missing"},
		{"states = \"x\"\n[load]\nshare = 1\nrate = 3\n", 3, "either share or rate"},
		{"states = \"x\"\nseconds = -1\n[load]\nshare = 1\n", 2, "seconds is -1"},
		{head + "[fleet]\nflaw = \"mute\"\n", 6, "only the plain program"},
		{head + "[fleet]\nservers = 99999\n", 6, "not within"},
		{head + "[[fault]]\ndo = \"explode\"\n", 6, "unknown fault"},
		{head + "[[fault]]\ndo = \"kill\"\nat = 31\n", 7, "not within the 30 s"},
		{head + "[[fault]]\ndo = \"stop\"\nat = 20\nfor = 11\n", 8, "ends at 31 s"},
		{head + "[[fault]]\ndo = \"stop\"\nat = 20\n", 5, "needs for"},
		{head + "[[fault]]\ndo = \"kill\"\nat = 2\nfor = 3\n", 8, "happens at once"},
		{head + "[[fault]]\ndo = \"kill\"\nat = 2\nsize = 3\n", 8, "kill has no size"},
		{head + "[[fault]]\ndo = \"slow\"\nat = 2\nfor = 1\nsize = 0.5\n", 9, "needs a size"},
		{head + "[[fault]]\ndo = \"clock\"\non = \"sidecars\"\nat = 2\nsize = 1\n", 7, "takes no clock"},
		{head + "[[fault]]\ndo = \"partition\"\nat = 2\nfor = 1\nfrom = \"attic\"\n", 9, "no zone"},
		{head + "[[fault]]\ndo = \"kill\"\nat = 2\npart = 0.5\ncount = 1\n", 8, "only one of"},
		{head + "[keepers]\ncount = 3\n[[fault]]\ndo = \"backup\"\nat = 2\nnames = [\"k1\"]\n", 7, "choose nothing"},
		{head + "[keepers]\ncount = 3\n[[fault]]\ndo = \"restore\"\nat = 2\ncount = 1\n", 7, "restore acts on all keepers"},
		{head + "[[bar]]\nfigure = \"joy\"\nleast = 1\n", 6, "unknown figure"},
		{head + "[[bar]]\nfigure = \"served\"\n", 6, "neither least nor most"},
	} {
		t.Run(test.says, func(t *testing.T) {
			_, err := Parse("lab/x.toml", []byte(test.text))
			var bad *Error
			if !errors.As(err, &bad) || bad.Line != test.line || !strings.Contains(bad.What, test.says) {
				t.Errorf("%q: %v, want line %d and %q", test.text, err, test.line, test.says)
			}
		})
	}
}

// TestImpossible rejects faults that exclude each other when the plan is made.
func TestImpossible(t *testing.T) {
	for _, test := range []struct{ text, says string }{
		{"[[fault]]\ndo = \"kill\"\nat = 5\nnames = [\"n0\"]\n[[fault]]\ndo = \"stop\"\nat = 9\nfor = 1\nnames = [\"n0\"]\n", "acts on n0 while fault 1"},
		{"[[fault]]\ndo = \"kill\"\nat = 5\nnames = [\"n77\"]\n", "no \"n77\""},
		{"[[fault]]\ndo = \"hang\"\nat = 5\nfor = 1\ncount = 11\n", "only 10"},
		{"[[fault]]\ndo = \"deploy\"\nat = 5\nfor = 3\ndrain = 4\n", "does not fit"},
		{"[[fault]]\ndo = \"die\"\nat = 5\n[[fault]]\ndo = \"lose\"\nat = 8\nfor = 1\n", "nothing to act on"},
		{"[[fault]]\ndo = \"list-old\"\nat = 5\nfor = 3\n[[fault]]\ndo = \"list-cut\"\nat = 7\nfor = 1\n", "the list's answers while fault 1"},
	} {
		t.Run(test.says, func(t *testing.T) {
			_, err := Make(parse(t, head+test.text), 1)
			var bad *Error
			if !errors.As(err, &bad) || bad.Line == 0 || !strings.Contains(bad.What, test.says) {
				t.Errorf("%q: %v, want %q", test.text, err, test.says)
			}
		})
	}
}

const rich = head + `
[fleet]
sidecars = 20
[[fault]]
do = "kill"
at = 5
part = 0.7
restart = 1
[[fault]]
do = "deploy"
at = 2
for = 20
part = 0.5
[[fault]]
do = "steal"
at = 1
for = 9
size = 0.5
every = 2
count = 2
`

// TestSameSeed draws the same plan from the same seed, and another one from another seed.
func TestSameSeed(t *testing.T) {
	draw := func(seed uint64) *Plan {
		plan, err := Make(parse(t, rich), seed)
		if err != nil {
			t.Fatal(err)
		}
		return plan
	}
	a, b, c := draw(7), draw(7), draw(8)
	if a.ArrivalsHash != b.ArrivalsHash || a.StepsHash != b.StepsHash {
		t.Error("one seed gave two plans")
	}
	if a.ArrivalsHash == c.ArrivalsHash || a.StepsHash == c.StepsHash {
		t.Error("two seeds gave one plan")
	}
}

// TestLoad draws the load that the file asks for.
func TestLoad(t *testing.T) {
	plan, err := Make(parse(t, "states = \"x\"\nseconds = 300\n[load]\nshare = 0.5\nzone_skew = 0.4\n"), 3)
	if err != nil {
		t.Fatal(err)
	}
	work, first := 0.0, 0
	for i, a := range plan.Arrivals {
		work += a.Work.Seconds()
		if plan.Sidecars[a.Sidecar].Group == 0 {
			first++
		}
		if i > 0 && a.At < plan.Arrivals[i-1].At {
			t.Fatal("arrivals run backwards")
		}
	}
	if share := work / 300 / plan.Capacity(); math.Abs(share-0.5) > 0.02 {
		t.Errorf("%v of the capacity is asked for, want 0.5", share)
	}
	if part := float64(first) / float64(len(plan.Arrivals)); math.Abs(part-0.7) > 0.02 {
		t.Errorf("%v of the traffic is in the first zone, want 0.3 and 0.4 more", part)
	}
}

// TestFromOne partitions the links of one sidecar, and no other's.
func TestFromOne(t *testing.T) {
	p := makePlan(t, head+"[[fault]]\ndo = \"partition\"\nat = 2\nfor = 3\nfrom = \"n2\"\n")
	for _, s := range p.Steps {
		if !slices.Equal(s.Nears, []int{2}) {
			t.Errorf("a step of %v", s.Nears)
		}
	}
	if len(p.Steps) != 20 {
		t.Errorf("%d steps for 10 servers", len(p.Steps))
	}
}

// TestSizes publishes sizes near the true ones, which changes no other draw.
func TestSizes(t *testing.T) {
	alike := makePlan(t, head)
	rough := makePlan(t, head+"[list]\nsizes = \"rough\"\n")
	for i := range rough.Servers {
		s := rough.Servers[i]
		if r := s.SizeHint() / s.Capacity(); r < 0.8 || r > 1.2 || alike.Servers[i].SizeHint() != 1 {
			t.Errorf("a server of %v is told as %v, and alike as %v", s.Capacity(), s.SizeHint(), alike.Servers[i].SizeHint())
		}
		if s.Hint = 0; s != alike.Servers[i] {
			t.Errorf("%+v, alike %+v", s, alike.Servers[i])
		}
	}
}

// TestDeploy replaces every chosen server once, in its zone and kind, its end after its drain, within the time.
func TestDeploy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		file, err := Parse("x.toml", []byte(head+"[fleet]\nservers = 12\n[[fault]]\ndo = \"deploy\"\nat = 2\nfor = 20\npart = 0.98\ndrain = 3\n"))
		if err != nil {
			t.Fatal(err)
		}
		plan, err := Make(file, rapid.Uint64().Draw(t, "seed"))
		if err != nil {
			t.Fatal(err)
		}
		steps := stepTimes(plan)
		for _, old := range plan.Servers[:plan.InitialServers] {
			at := steps[old.UID]
			if at[Remove]-at[Drain] != 3*time.Second || at["tellDELETED"] < at[Remove] || at["tellDRAINING"] < at[Drain] {
				t.Fatalf("server %s: %v", old.UID, at)
			}
		}
		successors := plan.Servers[plan.InitialServers:]
		for _, successor := range successors {
			at := steps[successor.UID]
			if at[Add] < 5*time.Second || at[Add] > 22*time.Second || at["tellSERVING"] <= at[Add] {
				t.Fatalf("successor %s: %v", successor.UID, at)
			}
		}
		if len(successors) != 12 {
			t.Fatalf("%d successors, want 12", len(successors))
		}
	})
}

// stepTimes is when each server has its steps, by the step and the state that it publishes.
func stepTimes(plan *Plan) map[string]map[StepKind]time.Duration {
	times := map[string]map[StepKind]time.Duration{}
	for _, step := range plan.Steps {
		if times[step.Server] == nil {
			times[step.Server] = map[StepKind]time.Duration{}
		}
		times[step.Server][step.Do+StepKind(step.State)] = step.At
	}
	return times
}

// FuzzParse reads any text, or rejects it with one line of reason.
func FuzzParse(f *testing.F) {
	f.Add([]byte(rich))
	f.Add([]byte(head + "[[bar]]\nfigure = \"served:fetch\"\nleast = 1\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		file, err := Parse("x.toml", text)
		var bad *Error
		if err != nil && (!errors.As(err, &bad) || bad.What == "" || strings.Contains(bad.Error(), "\n")) {
			t.Fatalf("%q", err)
		}
		if err == nil && file.Seconds < 60 && file.Load.Rate < 1000 && file.Load.Share < 2 {
			_, _ = Make(file, 1) // may refuse, not panic
		}
	})
}

// TestFirstWrongKey checks that of several keys that a kind of fault does not have, always the same one is reported.
func TestFirstWrongKey(t *testing.T) {
	const attempts = 64 // a choice at random would report the same one of three each time once in 3^63
	for range attempts {
		_, err := Parse("lab/x.toml", []byte(head+"[[fault]]\ndo = \"kill\"\nat = 2\ndrain = 1\nsize = 3\nevery = 2\n"))
		var bad *Error
		if !errors.As(err, &bad) || bad.What != "kill has no size" {
			t.Fatalf("%v, want that kill has no size", err)
		}
	}
}
