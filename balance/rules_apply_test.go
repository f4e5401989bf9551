package balance

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

// sendInTurn sends n requests, each answered immediately, and returns the endpoints in the order in which they got them.
func (recorder *host) sendInTurn(b *Balancer, n int) (order []string) {
	for range n {
		now := recorder.now + 10*time.Millisecond
		recorder.now = now
		b.Request(now, Request{ID: RequestID(now), Tenant: -1, TimeLeft: time.Second})
		if len(recorder.sent) == 1 {
			order = append(order, recorder.sent[0].to)
			recorder.endAttempts(b, now+time.Millisecond, Served)
		}
	}
	return order
}

// TestSetRules changes weights and groups, and checks that groups which did not change keep their state.
func TestSetRules(t *testing.T) {
	list := []Endpoint{{ID: "a1", Zone: "x", Kind: "big", Size: 1}, {ID: "a2", Zone: "x", Kind: "big", Size: 1}, {ID: "a3", Zone: "x", Kind: "big", Size: 1},
		{ID: "b", Zone: "x", Kind: "small", Size: 1}, {ID: "c", Zone: "x", Kind: "huge", Size: 1}}
	set := settings()
	set.Rules = canary(80, 20)
	b, recorder := start(t, set, list)
	recorder.sendInTurn(b, 7)
	type groupState struct {
		next                 int
		credit, maxReadySize float64
		members              string
	}
	stateOf := func(g *group) groupState {
		k := groupState{next: g.nextIndex, credit: g.credit, maxReadySize: g.maxReadySize}
		for _, e := range g.members {
			k.members += e.ID
		}
		return k
	}
	before := stateOf(b.groups[0])
	if err := b.SetRules(recorder.now, canary(80, 20)); err != nil || stateOf(b.groups[0]) != before {
		t.Errorf("setting the same table: error %v, first group is %v, was %v", err, stateOf(b.groups[0]), before)
	}
	other := canary(80, 20)
	other[0].Destinations[1].Match = Match{"version": "huge"}
	if err := b.SetRules(recorder.now, other); err != nil || stateOf(b.groups[0]) != before || len(b.groups) != 3 {
		t.Errorf("changing the second group: error %v, first group is %v, was %v", err, stateOf(b.groups[0]), before)
	}
	if got := count(recorder.sendInTurn(b, 100)); got["c"] != 20 || got["b"] != 0 {
		t.Errorf("turns %v, want 20 of 100 at c and none at b", got)
	}
	// The weights 8000 and 2000 leave credit of thousands, which must not dominate the weights 1 and 1.
	if err := b.SetRules(recorder.now, canary(8000, 2000)); err != nil {
		t.Error("table with weights 8000 and 2000 not applied")
	}
	recorder.sendInTurn(b, 3)
	if err := b.SetRules(recorder.now, canary(1, 1)); err != nil {
		t.Error("table with weights 1 and 1 not applied")
	}
	if got := count(recorder.sendInTurn(b, 20)); got["b"] < 8 || got["b"] > 12 {
		t.Errorf("turns %v after the new weights, want half each", got)
	}
	order := recorder.sendInTurn(b, 12)
	for i := 6; i < len(order); i++ {
		if order[i] != order[i-6] {
			t.Errorf("turns do not repeat evenly: %v", order)
		}
	}
	if err := b.SetRules(recorder.now, canary(math.NaN(), 1)); err == nil || !strings.Contains(err.Error(), "weight NaN") {
		t.Errorf("a table with an invalid weight returned error %v", err)
	}
	if err := b.SetRules(recorder.now, nil); err != nil || b.groups[0].destination.Weight != 80 {
		t.Error("an empty table did not restore the rules of the settings")
	}
}

// TestSetRulesBetween sets a table while a request is in flight: the request ends as usual.
func TestSetRulesBetween(t *testing.T) {
	set := settings()
	set.Rules = canary(1, 1)
	b, recorder := start(t, set, []Endpoint{{ID: "a", Zone: "x", Kind: "big", Size: 1}, {ID: "b", Zone: "x", Kind: "small", Size: 1}})
	b.Request(recorder.now, Request{ID: 1, Tenant: -1, TimeLeft: time.Second})
	only := canary(1, 0)
	if err := b.SetRules(recorder.now, only); err != nil {
		t.Fatal(err)
	}
	recorder.endAttempts(b, recorder.now+time.Millisecond, Served)
	if got := count(recorder.sendInTurn(b, 10)); got["a"] != 10 {
		t.Errorf("turns %v, want none at b after its weight was set to 0", got)
	}
}

// TestPendingRules sets tables without ready endpoints. They stay pending while the rule in force has some, but not longer than
// pendingRulesTTL, and only the last one is applied.
func TestPendingRules(t *testing.T) {
	list := []Endpoint{{ID: "a", Zone: "x", Kind: "big", Size: 1}, {ID: "c", Zone: "x", Kind: "huge", Size: 1}}
	for _, test := range []pendingCase{
		{name: "nothing happens", wait: pendingRulesTTL, want: "ac"},
		{name: "a server is added", wait: 100 * time.Millisecond, want: "z", action: func(_ *testing.T, b *Balancer, recorder *host) {
			b.Endpoints(recorder.now, ListChanges, []Endpoint{{ID: "z", Zone: "x", Kind: "none", Size: 1}})
		}},
		{name: "the old servers drain", wait: 100 * time.Millisecond, want: "c", action: func(_ *testing.T, b *Balancer, recorder *host) {
			b.Endpoints(recorder.now, ListChanges, []Endpoint{{ID: "a", State: Draining}})
		}},
		{name: "other tables are set all the time", wait: pendingRulesTTL, want: "ac", setOthers: true},
		{name: "a table with ready servers is set", wait: 0, want: "c", action: func(t *testing.T, b *Balancer, recorder *host) {
			if err := b.SetRules(recorder.now, rulesForKind("huge")); err != nil {
				t.Error(err)
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) { test.run(t, list) })
	}
	t.Run("no ready server before", func(t *testing.T) {
		set := settings()
		set.Rules = rulesForKind("none")
		b, recorder := start(t, set, list)
		if err := b.SetRules(recorder.now, rulesForKind("nowhere")); err != nil {
			t.Errorf("a table without endpoints is pending although the current one has none either: %v", err)
		}
		other := []Rule{{Name: "x", Source: Match{"service": "other"}, Service: Match{"service": "*"}, Destinations: canary(1)[0].Destinations}}
		if err := b.SetRules(recorder.now, other); err != nil {
			t.Errorf("a table without a rule for this client is pending: %v", err)
		}
	})
}

// rulesForKind returns a table with one rule for endpoints of a kind.
func rulesForKind(kind string) []Rule {
	rules := canary(1)
	rules[0].Destinations[0].Match = Match{"version": kind}
	return rules
}

// pendingCase describes what happens while a table is pending, how long it stays pending, and where requests go afterwards.
type pendingCase struct {
	name      string
	action    func(*testing.T, *Balancer, *host) // nil: nothing
	setOthers bool                               // other tables that stay pending are set all the time
	wait      time.Duration
	want      string // ids of the endpoints that get requests afterwards
}

func (test pendingCase) run(t *testing.T, list []Endpoint) {
	set := settings()
	set.Rules = canary(1)
	b, recorder := start(t, set, list)
	err := b.SetRules(recorder.now, rulesForKind("none"))
	if !errors.Is(err, ErrNoReadyEndpoint) || !b.RulesPending() {
		t.Fatalf("the table is not pending, SetRules returned %v", err)
	}
	if got := count(recorder.sendInTurn(b, 10)); got["a"] != 10 {
		t.Errorf("turns %v while the table is pending, want all at a", got)
	}
	from := recorder.now - 100*time.Millisecond
	if test.action != nil {
		test.action(t, b, recorder)
	}
	test.runUntilApplied(b, recorder)
	if took := recorder.now - from; took < test.wait-time.Second || took > test.wait+time.Second {
		t.Errorf("the table was pending for %v, want %v", took, test.wait)
	}
	got := count(recorder.sendInTurn(b, 10))
	for _, id := range strings.Split(test.want, "") {
		if got[id] != 10/len(test.want) {
			t.Errorf("turns %v, want them evenly at the endpoints %s", got, test.want)
		}
	}
}

// runUntilApplied runs timers until no table is pending.
func (test pendingCase) runUntilApplied(b *Balancer, recorder *host) {
	for i := 0; b.RulesPending(); i++ {
		recorder.now += 100 * time.Millisecond
		if test.setOthers && i%10 == 0 {
			if err := b.SetRules(recorder.now, rulesForKind(fmt.Sprint("none", i))); err == nil {
				return
			}
		}
		b.Timer(recorder.now, tickToken)
	}
}
