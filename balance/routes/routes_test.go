package routes

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// smallTables describes a small set of tables. They have up to names rules, each with one of sources matches, and for each of
// destinations a weight of 0 (it is absent), 1 or 2. A table is encoded as a string with the name, source and weights of each rule.
type smallTables struct{ names, sources, destinations int }

// variants returns all possible rules without their names.
func (w smallTables) variants() []string {
	all := []string{""}
	for i := range 1 + w.destinations {
		n, next := 3, []string(nil)
		if i == 0 {
			n = w.sources
		}
		for _, v := range all {
			for x := range n {
				next = append(next, v+string(rune('0'+x)))
			}
		}
		all = next
	}
	return all
}

func (w smallTables) table(s string) Table {
	t := Table{}
	for i := 0; i < len(s); i += 2 + w.destinations {
		r := Rule{Name: s[i : i+1], Source: Match{"service": s[i+1 : i+2]}, Service: Match{"service": "*"}}
		for j, weight := range s[i+2 : i+2+w.destinations] {
			if weight > '0' {
				r.Destinations = append(r.Destinations, Destination{Weight: float64(weight - '0'), Match: Match{"version": fmt.Sprint(j)}})
			}
		}
		t = append(t, r)
	}
	return t
}

// search is Dijkstra's algorithm over all single ops, from one table.
type search struct {
	smallTables
	cost  map[string]int
	queue [][]string // by cost
}

// leastCosts returns the minimal cost from a table to each other one. It shares no code with Diff.
func (w smallTables) leastCosts(from string) map[string]int {
	s := search{smallTables: w, cost: map[string]int{from: 0}, queue: [][]string{{from}}}
	for cost := 0; cost < len(s.queue); cost++ {
		for i := 0; i < len(s.queue[cost]); i++ {
			if table := s.queue[cost][i]; s.cost[table] == cost {
				s.changeRules(table)
				s.addRules(table)
			}
		}
	}
	return s.cost
}

// reach records that a table can be reached from another one by an op with the given price.
func (s *search) reach(from, next string, price int) {
	cost := s.cost[from] + price
	if old, known := s.cost[next]; known && old <= cost {
		return
	}
	for len(s.queue) <= cost {
		s.queue = append(s.queue, nil)
	}
	s.cost[next] = cost
	s.queue[cost] = append(s.queue[cost], next)
}

// changeRules drops, moves and edits each rule.
func (s *search) changeRules(table string) {
	size := 2 + s.destinations
	for at := 0; at < len(table); at += size {
		rule, rest := table[at:at+size], table[:at]+table[at+size:]
		s.reach(table, rest, 1)
		for to := 0; to <= len(rest); to += size {
			s.reach(table, rest[:to]+rule+rest[to:], 1)
		}
		for j := 1; j < size; j++ {
			values := 3
			if j == 1 {
				values = s.sources
			}
			for x := range values {
				s.reach(table, table[:at+j]+string(rune('0'+x))+table[at+j+1:], 1)
			}
		}
	}
}

// addRules adds each rule that the table lacks, at each position.
func (s *search) addRules(table string) {
	size, variants := 2+s.destinations, s.variants()
	for n := range s.names {
		name := string(rune('a' + n))
		if strings.Contains(table, name) {
			continue
		}
		for _, v := range variants {
			price := 1 + len(v) - 1 - strings.Count(v[1:], "0")
			for at := 0; at <= len(table); at += size {
				s.reach(table, table[:at]+name+v+table[at:], price)
			}
		}
	}
}

// TestDiffIsMinimal compares the cost of Diff from random tables to all others of a small set with the minimum over all lists of ops.
func TestDiffIsMinimal(t *testing.T) {
	tableSets := []smallTables{{5, 1, 0}, {3, 1, 1}, {4, 1, 1}, {2, 2, 2}, {3, 2, 1}}
	known := map[string]map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := rapid.SampledFrom(tableSets).Draw(t, "world")
		from := ""
		for _, n := range rapid.Permutation([]int{0, 1, 2, 3, 4}[:w.names]).Draw(t, "order")[:rapid.IntRange(0, w.names).Draw(t, "rules")] {
			from += string(rune('a'+n)) + rapid.SampledFrom(w.variants()).Draw(t, "variant")
		}
		key := fmt.Sprint(w, from)
		if known[key] != nil {
			return
		}
		known[key] = w.leastCosts(from)
		for to, want := range known[key] {
			a, b := w.table(from), w.table(to)
			ops := Diff(a, b)
			if got := Cost(ops); got != want {
				t.Fatalf("%q to %q costs %d by %v, want %d", from, to, got, ops, want)
			}
			checkDiff(t, a, b, ops)
		}
	})
}

// checkDiff checks that ops lead from a to b, that their inverse leads back, and that a is unchanged.
func checkDiff(t interface{ Fatalf(string, ...any) }, a, b Table, ops []Op) {
	before := a.Hash()
	got, undo, err := applyAll(a, ops)
	if err != nil || got.Hash() != b.Hash() {
		t.Fatalf("applying %v results in %v from %v, want %v: %v", ops, got, a, b, err)
	}
	back, _, err := applyAll(got, undo)
	if err != nil || back.Hash() != before || a.Hash() != before {
		t.Fatalf("applying the inverse of %v results in %v, want %v: %v", ops, back, a, err)
	}
}

// largeTable returns a valid table with n rules.
func largeTable(n int) Table {
	t := make(Table, n)
	for i := range t {
		t[i] = Rule{Name: fmt.Sprintf("rule-%d", i), Source: Match{"service": fmt.Sprintf("app-%d", i%50), "region": "*"}, Service: Match{"service": "rec-api"},
			Destinations: []Destination{{Weight: 90, Match: Match{"service": "rec-api", "version": "a"}}, {Weight: 10, Match: Match{"service": "rec-api", "version": "b"}, PerSize: true}}}
	}
	return t
}

// randomlyEdited returns the table with about the given share of its rules dropped, moved, edited or added.
func randomlyEdited(r *rand.Rand, t Table, share float64) Table {
	var ops []Op
	name := func() string { return t[r.IntN(len(t))].Name }
	for range int(share * float64(len(t))) {
		switch r.IntN(5) {
		case 0:
			ops = append(ops, Op{Kind: Move, Name: name(), After: name()})
		case 1:
			n := fmt.Sprintf("new-%d", len(ops))
			ops = append(ops, Op{Kind: Add, Name: n, After: name(), Rule: Rule{Name: n, Source: Match{"service": "x"}, Service: Match{"service": "*"},
				Destinations: []Destination{{Weight: 1, Match: Match{"version": "a"}}}}})
		case 2:
			ops = append(ops, Op{Kind: Drop, Name: name()})
		case 3:
			ops = append(ops, Op{Kind: Set, Name: name(), Match: Match{"version": fmt.Sprint(r.IntN(3))}, Weight: float64(1 + r.IntN(9))})
		case 4:
			ops = append(ops, Op{Kind: Rematch, Name: name(), Source: Match{"service": fmt.Sprint(r.IntN(9))}, Service: Match{"service": "*"}})
		}
	}
	for _, op := range ops { // ops that cannot be applied are skipped
		if after, _, err := applyAll(t, []Op{op}); err == nil {
			t = after
		}
	}
	return t
}

// TestDiffLarge checks Diff on tables with hundreds of rules: the result is correct, costs no more than the edits that were made, and
// can be concatenated and inverted.
func TestDiffLarge(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	first := largeTable(400)
	for _, share := range []float64{0.01, 0.1, 0.5, 1} {
		second := randomlyEdited(r, first, share)
		third := randomlyEdited(r, second, share)
		ab, bc := Diff(first, second), Diff(second, third)
		checkDiff(t, first, second, ab)
		if len(ab) == 0 || float64(Cost(ab)) > 2*share*float64(len(first)) {
			t.Errorf("the diff after editing a share of %v costs %d", share, Cost(ab))
		}
		if got, err := Apply(first, Concat(ab, bc)); err != nil || got.Hash() != third.Hash() {
			t.Errorf("the concatenated diffs do not lead to the last table: %v", err)
		}
		undoOps, err := Invert(first, Concat(ab, bc))
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Apply(third, undoOps); err != nil || got.Hash() != first.Hash() {
			t.Errorf("the inverse of the concatenated diffs does not lead back: %v", err)
		}
	}
}

// BenchmarkDiff compares a table of 10,000 rules with modified versions of it.
func BenchmarkDiff(b *testing.B) {
	from := largeTable(10_000)
	r := rand.New(rand.NewPCG(3, 4))
	shuffled := append(Table(nil), from...)
	r.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	weights := append(Table(nil), from...)
	for i := range weights {
		weights[i].Destinations = []Destination{{Weight: 80, Match: weights[i].Destinations[0].Match}, {Weight: 20, Match: weights[i].Destinations[1].Match}}
	}
	one, _, err := applyAll(from, []Op{{Kind: Set, Name: "rule-5000", Match: from[0].Destinations[0].Match, Weight: 50}})
	if err != nil {
		b.Fatal(err)
	}
	tenth := append(append(append(Table(nil), from[:500]...), shuffled[:1000]...), from[1500:]...)
	seen, unique := map[string]bool{}, Table(nil)
	for _, rule := range tenth {
		if !seen[rule.Name] {
			seen[rule.Name], unique = true, append(unique, rule)
		}
	}
	text, err := json.Marshal(one)
	if err != nil {
		b.Fatal(err)
	}
	apart, err := ParseRules(text) // shares no memory with from
	if err != nil {
		b.Fatal(err)
	}
	for name, to := range map[string]Table{"one-weight": one, "one-weight-read-anew": apart, "a-tenth": unique, "all-weights": weights, "all-shuffled": shuffled} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				Diff(from, to)
			}
		})
	}
}

func TestHash(t *testing.T) {
	first := largeTable(3)
	second := append(Table(nil), first...)
	second[1].Destinations = []Destination{first[1].Destinations[1], first[1].Destinations[0]}
	if first.Hash() != second.Hash() || len(Diff(first, second)) != 0 || !reflect.DeepEqual(first.Canonical(), second.Canonical()) {
		t.Error("the order of destinations makes a difference")
	}
	seen := map[string]string{first.Hash(): "the table"}
	for what, ops := range map[string][]Op{
		"moved":         {{Kind: Move, Name: "rule-0", After: "rule-1"}},
		"a weight":      {{Kind: Set, Name: "rule-0", Match: Match{"service": "rec-api", "version": "a"}, Weight: 91}},
		"by size":       {{Kind: Set, Name: "rule-0", Match: Match{"service": "rec-api", "version": "a"}, Weight: 90, PerSize: true}},
		"a source":      {{Kind: Rematch, Name: "rule-0", Source: Match{"service": "app-0region", "x": "*"}, Service: Match{"service": "rec-api"}}},
		"a destination": {{Kind: Unset, Name: "rule-0", Match: Match{"service": "rec-api", "version": "a"}}},
		"a rule":        {{Kind: Drop, Name: "rule-0"}},
	} {
		second, _, err := applyAll(first, ops)
		if err != nil {
			t.Fatal(err)
		}
		if same := seen[second.Hash()]; same != "" {
			t.Errorf("the variant %q has the same hash as %q", what, same)
		}
		seen[second.Hash()] = what
	}
}

func TestCheck(t *testing.T) {
	many := make([]Destination, MaxDestinations+1)
	for i := range many {
		many[i] = Destination{Weight: 1, Match: Match{"version": fmt.Sprint(i)}}
	}
	for _, test := range []struct {
		want string
		edit func(*Rule)
	}{
		{"another rule has this name", func(r *Rule) { r.Name = "rule-0" }},
		{"field Name: it is missing", func(r *Rule) { r.Name = "" }},
		{"field Name: 129 bytes", func(r *Rule) { r.Name = strings.Repeat("x", 129) }},
		{"field Name: it is no UTF-8", func(r *Rule) { r.Name = "\xff" }},
		{"field Source: no tag", func(r *Rule) { r.Source = nil }},
		{"field Service: no tag", func(r *Rule) { r.Service = nil }},
		{"only service is allowed", func(r *Rule) { r.Service = Match{"region": "x"} }},
		{"another one matches the same", func(r *Rule) { r.Destinations = []Destination{many[0], many[1], many[0]} }},
		{"128 at most", func(r *Rule) { r.Destinations = many }},
		{"no sum above 0", func(r *Rule) { r.Destinations = nil }},
		{"weight -1 is not", func(r *Rule) { r.Destinations = []Destination{{Weight: -1}} }},
		{"weight NaN is not", func(r *Rule) { r.Destinations = []Destination{{Weight: math.NaN()}} }},
		{"weight +Inf is not", func(r *Rule) { r.Destinations = []Destination{{Weight: math.Inf(1)}} }},
	} {
		table := largeTable(3)
		test.edit(&table[2])
		if err := table.Check(); err == nil || !strings.Contains(err.Error(), test.want) || !strings.HasPrefix(err.Error(), "rule 2, ") {
			t.Errorf("Check returned %v, want an error with %q", err, test.want)
		}
	}
	for _, table := range []Table{{}, largeTable(3), largeTable(MaxRules / 2)} {
		if err := table.Check(); err != nil {
			t.Error(err)
		}
	}
	if err := largeTable(MaxRules + 1).Check(); err == nil {
		t.Error("Check accepts too many rules")
	}
	oversized := largeTable(MaxRules)
	for i := range oversized {
		oversized[i].Destinations = many[:20]
	}
	if err := oversized.Check(); err == nil || !strings.Contains(err.Error(), "bytes") {
		t.Errorf("Check of a table with too many bytes returned %v", err)
	}
}

// TestRelevant checks that the relevant part of a table decides like the whole table.
func TestRelevant(t *testing.T) {
	whole := largeTable(200)
	client := map[string]string{"service": "app-7", "region": "r"}
	relevant := whole.Relevant(client, "rec-api")
	if len(relevant) != 4 || Best(relevant, client, "rec-api").Name != Best(whole, client, "rec-api").Name {
		t.Errorf("%d relevant rules, want 4 that decide like the whole table", len(relevant))
	}
	if n := len(whole.Relevant(client, "other")) + len(whole.Relevant(map[string]string{"service": "app-7"}, "rec-api")); n != 0 {
		t.Errorf("%d rules count as relevant that cannot match", n)
	}
	if len(whole.Relevant(nil, "")) != 200 || len(whole.Relevant(nil, "rec-api")) != 200 {
		t.Error("Relevant for any client omits rules")
	}
}

func TestJSON(t *testing.T) {
	text := `[{"name":"a","source":{"service":"*"},"service":{"service":"s"},"destinations":[{"match":{"version":"x"},"weight":1,"per_size":true}]}]`
	table, err := ParseRules([]byte(text))
	if err != nil || table.Check() != nil {
		t.Fatal(err, table.Check())
	}
	again, err := json.Marshal(table)
	if err != nil || string(again) != text {
		t.Errorf("table is encoded as %s: %v", again, err)
	}
	none, err := ParseRules([]byte(strings.Replace(text, `"weight":1,`, "", 1)))
	if err != nil || none.Check() == nil {
		t.Errorf("a rule without a weight is accepted: %v", err)
	}
	if _, err := ParseRules([]byte(strings.Replace(text, "per_size", "per-size", 1))); err == nil {
		t.Error("an unknown key is accepted")
	}
	rest := largeTable(2)
	ops := Concat(Diff(table, rest), Diff(rest, table), []Op{{Kind: Move, Name: "x", After: "y"}, {Kind: Unset, Name: "x", Match: Match{"a": "b"}},
		{Kind: Set, Name: "x", Match: Match{"a": "b"}}, {Kind: Rematch, Name: "x", Source: Match{"a": "b"}, Service: Match{"service": "*"}}})
	line, err := json.Marshal(ops)
	if err != nil {
		t.Fatal(err)
	}
	var read []Op
	if err := json.Unmarshal(line, &read); err != nil || !reflect.DeepEqual(read, ops) {
		t.Errorf("%s is decoded as %v: %v", line, read, err)
	}
}

// FuzzApply applies arbitrary ops. Either all of them apply, with a valid result and an inverse that leads back, or none of them.
func FuzzApply(f *testing.F) {
	for _, s := range []string{`[{"op":"drop","name":"rule-0"},{"op":"add","name":"rule-0","after":"rule-1","rule":{"name":"rule-0"}}]`,
		`[{"op":"move","name":"rule-0","after":"rule-0"}]`, `[{"op":"move","name":"","after":""}]`, `[{"op":"unset","name":"rule-1","match":{"version":"a"}}]`,
		`[{"op":"set","name":"rule-1","match":null,"weight":1e308}]`, `[{"op":"match","name":"rule-1"}]`, `[{"op":"add","name":"","after":"","rule":{"name":""}}]`, `[{}]`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var ops []Op
		if json.Unmarshal(text, &ops) != nil {
			return
		}
		table := largeTable(3)
		before := table.Hash()
		got, err := Apply(table, ops)
		if table.Hash() != before || err != nil && got != nil {
			t.Fatalf("%s changed the table that it was applied to, or returned a table with an error", text)
		}
		if err != nil {
			return
		}
		back, err := Invert(table, ops)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := Apply(got, back); err != nil || again.Hash() != before {
			t.Fatalf("the inverse of %s leads to %v: %v", text, again, err)
		}
		if diff := Diff(table, got); Cost(diff) > Cost(ops) {
			t.Fatalf("the diff %v costs more than %s", diff, text)
		}
	})
}
