package signals

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const reportTTL = 2 * time.Second

var (
	zones   = []string{"room-a", "room-b", "room-c"}
	servers = []string{"s1", "s2", "s3", "s4", "s5"}
)

func randomVerdict(t *rapid.T) Verdict {
	server := rapid.IntRange(0, 2).Draw(t, "server")
	v := Verdict{Process{servers[server], 1}, zones[server], Unresponsive, 2, time.Second}
	if rapid.Bool().Draw(t, "odd") {
		v.Start, v.Zone = rapid.Int64Range(1, 2).Draw(t, "start"), rapid.SampledFrom(zones).Draw(t, "of")
		v.Kind, v.Count = Kind(rapid.IntRange(0, 5).Draw(t, "kind")), rapid.IntRange(-1, 9).Draw(t, "count")
		v.Age = time.Duration(rapid.IntRange(-100, 12000).Draw(t, "age")) * time.Millisecond
	}
	return v
}

func randomReport(t *rapid.T) Report {
	r := Report{Zone: rapid.SampledFrom(zones).Draw(t, "room")}
	odd := rapid.IntRange(0, 3).Draw(t, "odd uses") == 3
	for _, zone := range zones {
		n := 8
		if odd {
			n = rapid.IntRange(0, 5).Draw(t, "uses")
		}
		if n > 0 {
			r.Uses = append(r.Uses, ZoneUse{zone, n})
		}
	}
	r.Verdicts = rapid.SliceOfN(rapid.Custom(randomVerdict), 1, 4).Draw(t, "verdicts")
	return r
}

// statedReport is a report of an origin, which may arrive late and several times.
type statedReport struct {
	origin string
	seq    uint64
	at     time.Duration
	r      Report
}

// aggregateOf returns an aggregate that has received statements in the given order.
func aggregateOf(order []statedReport, now time.Duration) *Aggregate {
	a := NewAggregate(zones[0], reportTTL)
	for _, s := range order {
		a.Receive(Statement{Origin: s.origin, Start: 1, Seq: s.seq, Age: now - s.at, Report: s.r}, now)
	}
	return a
}

func drawStatements(t *rapid.T) (all []statedReport) {
	for i := range rapid.IntRange(3, 12).Draw(t, "origins") {
		for seq := range rapid.IntRange(1, 3).Draw(t, "reports") {
			at := time.Duration(seq)*time.Second/2 + time.Duration(rapid.IntRange(0, 900).Draw(t, "at"))*time.Millisecond
			all = append(all, statedReport{fmt.Sprint("m", i), uint64(seq), at, randomReport(t)})
		}
	}
	return all
}

// TestVerdictsHaveWitnesses checks that statements lead to the same verdicts in any order and with duplicates, and that each verdict
// has enough witnesses.
func TestVerdictsHaveWitnesses(t *testing.T) {
	seen := 0
	rapid.Check(t, func(t *rapid.T) {
		all := drawStatements(t)
		now := time.Duration(rapid.IntRange(2000, 5000).Draw(t, "now")) * time.Millisecond
		verdicts := aggregateOf(all, now).Evaluate(now)
		again := aggregateOf(rapid.Permutation(append(all, all...)).Draw(t, "order"), now)
		if got := again.Evaluate(now); !reflect.DeepEqual(got, verdicts) {
			t.Fatalf("verdicts %v, in another order %v", verdicts, got)
		}
		newest := map[string]statedReport{}
		for _, s := range all {
			if s.seq >= newest[s.origin].seq {
				newest[s.origin] = s
			}
		}
		for process, kind := range verdicts {
			seen++
			checkWitnesses(t, newest, process, kind, now)
		}
		// A verdict ends if its witnesses send nothing for the TTL, whatever they stated.
		if late := again.Evaluate(now + reportTTL + time.Millisecond); len(late) > 0 {
			t.Fatalf("verdicts %v after the TTL", late)
		}
	})
	if seen == 0 {
		t.Fatal("the random statements led to no verdict")
	}
}

// checkWitnesses counts, with an independent model, the witnesses of a kind of failure of a process or a worse one.
func checkWitnesses(t *rapid.T, newest map[string]statedReport, process Process, kind Kind, now time.Duration) {
	t.Helper()
	var count, own, near int
	from := map[string]bool{}
	for _, s := range newest {
		i := slices.IndexFunc(s.r.Verdicts, func(v Verdict) bool {
			return v.Process == process && v.Kind >= kind && v.Kind <= Unresponsive && v.Age+now-s.at <= evidenceTTL
		})
		if now-s.at > reportTTL || i < 0 {
			continue
		}
		count++
		from[s.r.Zone] = true
		if s.r.Zone == zones[0] {
			own++
		}
		if s.r.Zone == s.r.Verdicts[i].Zone {
			near++
		}
	}
	if count < 3 || len(from) < 2 && own < 3 && near < 3 {
		t.Fatalf("%v is %v by %d witnesses from %v", process, kind, count, from)
	}
}

// firstStatement is the first statement of an origin, made now.
func firstStatement(origin string, r Report) Statement {
	return Statement{Origin: origin, Start: 1, Seq: 1, Report: r}
}

// receiveHonest adds statements of honest members: count of them condemn the server s1, the others condemn none.
func receiveHonest(aggregate *Aggregate, count, quiet int) {
	for i := range count + quiet {
		r := Report{Zone: zones[i%2], Uses: []ZoneUse{{zones[0], 8}, {zones[1], 8}}}
		if i < count {
			r.Verdicts = []Verdict{{Process{"s1", 1}, zones[0], Unresponsive, 2, 0}}
		}
		aggregate.Receive(firstStatement(fmt.Sprint("m", i), r), 0)
	}
}

// TestOneFalseOriginChangesNoVerdict checks that one origin with false statements, whatever their contents and number, neither causes a
// verdict that is not supported by two honest witnesses nor ends one.
func TestOneFalseOriginChangesNoVerdict(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count, quiet := rapid.IntRange(0, 4).Draw(t, "witnesses"), rapid.IntRange(0, 20).Draw(t, "quiet")
		b, without := NewAggregate(zones[0], reportTTL), NewAggregate(zones[0], reportTTL)
		receiveHonest(b, count, quiet)
		receiveHonest(without, count, quiet)
		for range rapid.IntRange(1, 8).Draw(t, "lies") {
			b.Receive(Statement{
				Origin: "liar",
				Start:  rapid.Int64Range(1, 3).Draw(t, "process"),
				Seq:    rapid.Uint64Range(1, 9).Draw(t, "seq"),
				Age:    time.Duration(rapid.IntRange(-5000, 5000).Draw(t, "age")) * time.Millisecond,
				Report: randomReport(t),
			}, 0)
		}
		now := time.Duration(rapid.IntRange(0, 2000).Draw(t, "now")) * time.Millisecond
		verdicts, honestVerdicts := b.Evaluate(now), without.Evaluate(now)
		for subject, kind := range verdicts {
			if subject != (Process{"s1", 1}) || count < 2 {
				t.Fatalf("false statements led to the verdict %[2]v on %[1]v", subject, kind)
			}
		}
		for subject, kind := range honestVerdicts {
			if verdicts[subject] < kind {
				t.Fatalf("false statements ended the verdict %v on %v", kind, subject)
			}
		}
		if (count >= 3) != (len(honestVerdicts) == 1) {
			t.Fatalf("verdicts of %d honest witnesses: %v", count, honestVerdicts)
		}
	})
}

func TestPartitionedWitnessesCondemnNobody(t *testing.T) {
	condemnAll := func(zone string, n int) (v []Verdict) {
		for i := range n {
			v = append(v, Verdict{Process{zone + servers[i], 1}, zone, Unresponsive, 2, 0})
		}
		return v
	}
	uses, even := []ZoneUse{{zones[0], 8}, {zones[1], 3}}, []ZoneUse{{zones[0], 8}, {zones[1], 8}}
	for name, test := range map[string]struct {
		uses     []ZoneUse
		verdicts []Verdict
		want     int
	}{
		"one":                {uses, condemnAll(zones[0], 1), 1},
		"four of eleven":     {uses, condemnAll(zones[0], 4), 4},
		"five of eleven":     {uses, condemnAll(zones[0], 5), 0},
		"two of three there": {uses, condemnAll(zones[1], 2), 0},
		"where it uses none": {uses, condemnAll(zones[2], 1), 0},
		"six of sixteen":     {even, append(condemnAll(zones[0], 3), condemnAll(zones[1], 3)...), 6},
		"seven of sixteen":   {even, append(condemnAll(zones[0], 3), condemnAll(zones[1], 4)...), 0},
	} {
		r := Report{Uses: test.uses, Verdicts: test.verdicts}
		b := NewAggregate(zones[0], reportTTL)
		for i := range 5 {
			r.Zone = zones[i%2]
			b.Receive(firstStatement(fmt.Sprint(i), r), 0)
		}
		if got := len(b.Evaluate(0)); got != test.want {
			t.Errorf("%s: %d verdicts", name, got)
		}
		if own := LocalReport(r); (len(own.Verdicts) > 0) != (test.want > 0) {
			t.Errorf("%s: its own report has the verdicts %v", name, own.Verdicts)
		}
	}
	// The statements of a zone that cannot reach another zone count only in that zone itself.
	for reader, want := range map[string]int{zones[1]: 1, zones[2]: 0} {
		b := NewAggregate(reader, reportTTL)
		for i := range 5 {
			b.Receive(firstStatement(fmt.Sprint(i), Report{Zone: zones[1], Uses: uses, Verdicts: condemnAll(zones[0], 1)}), 0)
		}
		if got := len(b.Evaluate(0)); got != want {
			t.Errorf("reader in %s: %d verdicts", reader, got)
		}
		for i := range 3 {
			b.Remove(fmt.Sprint(i))
		}
		if len(b.Evaluate(0)) > 0 {
			t.Error("two witnesses are enough for a verdict")
		}
	}
}

// TestNearWitnessesAndServed checks that statements from a server's own zone count in all zones. Two members that were served later
// end the verdict, one does not, and faults newer than the answers still count.
func TestNearWitnessesAndServed(t *testing.T) {
	for name, test := range map[string]struct {
		served []time.Duration // ago
		want   int
	}{
		"nobody served": {nil, 1}, "one": {[]time.Duration{0}, 1}, "two": {[]time.Duration{0, time.Second}, 0},
		"one before": {[]time.Duration{0, 3 * time.Second}, 1},
	} {
		b := NewAggregate(zones[2], reportTTL)
		for i := range 3 {
			b.Receive(firstStatement(fmt.Sprint(i), Report{Zone: zones[1], Uses: []ZoneUse{{zones[1], 8}},
				Verdicts: []Verdict{{Process{"s1", 1}, zones[1], Unresponsive, 2, 2 * time.Second}}}), 0)
		}
		for i, age := range test.served {
			b.Receive(firstStatement(fmt.Sprint("served", i), Report{Zone: zones[0], Uses: []ZoneUse{{zones[1], 8}},
				Verdicts: []Verdict{{Process{"s1", 1}, zones[1], Serving, 1, age}}}), 0)
		}
		if got := len(b.Evaluate(0)); got != test.want {
			t.Errorf("%s: %d verdicts, want %d", name, got, test.want)
		}
		if got := b.Witnesses(Process{"s1", 1}); got != (WitnessCount{Condemning: 3, Served: len(test.served)}) {
			t.Errorf("%s: witnesses %+v", name, got)
		}
	}
}

func FuzzDecode(f *testing.F) {
	r := Report{Zone: "a", TrafficLevel: 3, Uses: []ZoneUse{{"a", 5}, {"b", 1}}, Verdicts: []Verdict{{Process{"s", 1700000000000}, "b", Slow, 3, 1500 * time.Millisecond}}}
	b, err := Encode(r)
	if back, again := Decode(b); err != nil || again != nil || !reflect.DeepEqual(back, r) {
		f.Fatalf("%v %v %+v", err, again, back)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := Decode(b)
		if err != nil {
			return
		}
		aggregate := NewAggregate("a", reportTTL)
		for i := range 3 {
			aggregate.Receive(firstStatement(fmt.Sprint(i), r), 0)
		}
		aggregate.Evaluate(0)
		if e, err := Encode(r); err != nil || len(e) > MaxReportBytes {
			t.Fatal(len(e), err)
		}
	})
}

// TestLongReportsFit checks that Encode omits verdicts from the end of a report that is too long.
func TestLongReportsFit(t *testing.T) {
	r := Report{Zone: zones[0], Uses: []ZoneUse{{zones[0], 50}}}
	for i := range 40 {
		r.Verdicts = append(r.Verdicts, Verdict{Process{fmt.Sprintf("%058d", i), 1700000000000}, zones[0], Unresponsive, 2, time.Second})
	}
	b, err := Encode(r)
	if err != nil || len(b) > MaxReportBytes {
		t.Fatal(len(b), err)
	}
	back, err := Decode(b)
	if err != nil || len(back.Verdicts) < 5 || back.Verdicts[0] != r.Verdicts[0] {
		t.Fatal(back, err)
	}
}
