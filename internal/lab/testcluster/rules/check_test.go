package rules

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	second   = time.Second
	host     = "assistant.example"
	oneProxy = "127.0.1.1:1"
)

// scenario is evidence to which a test adds what it needs.
type scenario struct {
	*Evidence
	n int
}

func testConfig(revision int64, mail string) *Config {
	return &Config{Revision: revision, Routes: []Route{
		{Name: "mail", Host: host, Prefix: "/mail/", Category: "non_idempotent", Target: mail},
		{Name: "thumb", Host: host, Prefix: "/thumb/", Category: "idempotent", Target: "thumbs", Homes: []string{"north"}},
		{Name: "chat", Host: host, Prefix: "/chat/", Category: "streaming", Shares: []Share{{"llm", 1}, {"spare", 0}}},
		{Name: "long", Host: host, Prefix: "/long/", Category: "streaming", Resumable: true, Target: "llm"},
	}}
}

// newScenario returns evidence in which the first version is acknowledged at 0 and a request of each kind is served, a second apart from 10 s on.
func newScenario() *scenario {
	s := &scenario{Evidence: &Evidence{Bounds: Bounds{Contact: 4 * second, Drain: 4 * second, ConfigApply: 3 * second, RevertSlack: second / 4,
		Evacuate: 5 * second, Grace: 8 * second, LossSlack: second / 5, Stretch: 6 * second, RetryWindow: 10 * second, RetryRatio: 0.2,
		RetrySlack: 4, ColdExcess: 1.5, ColdSlack: 5}}}
	c := testConfig(1, "mailer")
	s.RecordChange(&Change{Config: c, AcknowledgedAt: 0, Status: 200})
	s.Read = c
	s.serve("/mail/1", "mailer", 10*second)
	s.serve("/thumb/1", "thumbs", 11*second)
	s.stream("/chat/1", 12*second)
	s.stream("/long/1", 13*second)
	return s
}

// serve adds a request that was answered completely at once.
func (s *scenario) serve(path, service string, at Time) (*Attempt, *Arrival) {
	s.n++
	id := fmt.Sprint("id", s.n)
	t := &Attempt{ID: id, Request: s.n, Host: host, Method: "POST", Path: path, Body: 7, Region: "north", Zone: "north-a", Proxy: oneProxy,
		Sent: at, SentComplete: at, Ended: at + second/10, Outcome: Answered, Status: 200, AnswerID: id, Seal: "seal " + id, Answer: 9}
	a := &Arrival{At: at + second/100, ID: id, Server: "server of " + service, Service: service, Zone: "north-a", Region: "north",
		Method: "POST", Path: path, Host: host, Body: 7, ExecutedAt: at + second/50, Ended: at + second/10, Status: 200, Seal: "seal " + id,
		Answer: 9, LastEvent: 1, Complete: true}
	s.RecordAttempt(t)
	s.RecordArrival(a)
	return t, a
}

// stream adds a stream of ten events.
func (s *scenario) stream(path string, at Time) (*Attempt, *Arrival) {
	t, a := s.serve(path, "llm", at)
	t.Stream, t.Answer, t.Events = true, 0, []Segment{{a.Seal, 1, 10}}
	a.Answer, a.LastEvent, a.SentEvents = 0, 10, 10
	return t, a
}

// again adds another arrival of a request.
func (s *scenario) again(of Arrival, at Time) *Arrival {
	of.At, of.ExecutedAt, of.Seal, of.Server = at, at, of.Seal+" again", of.Server+" 2"
	s.RecordArrival(&of)
	return &of
}

// version adds a configuration.
func (s *scenario) version(c *Config, base int64, sent, acked Time, status int) *Change {
	change := &Change{Config: c, Base: base, Sent: sent, Ended: sent + second/10, AcknowledgedAt: acked, Status: status}
	s.RecordChange(change)
	if acked != Never {
		s.Read = c
	}
	return change
}

func brokenRules(e *Evidence) []string {
	var names []string
	for _, v := range Check(e) {
		if v.Violations > 0 {
			names = append(names, v.Rule)
		}
	}
	return names
}

// control is evidence, and the rules of which it has violations.
type control struct {
	name   string
	edit   func(*scenario)
	broken string // names, a space between; empty: none
}

// allControls are the controls of all checks, by subject.
var allControls = [][]control{answerControls, streamControls, placeControls, changeControls, rateControls, tenantControls, quotaControls}

// TestControls checks that violations which are put into good evidence are found, as a check that finds nothing would pass any run.
func TestControls(t *testing.T) {
	if names := brokenRules(newScenario().Evidence); names != nil {
		t.Fatalf("good evidence breaks %v", names)
	}
	for _, group := range allControls {
		for _, c := range group {
			t.Run(c.name, func(t *testing.T) {
				s := newScenario()
				c.edit(s)
				got := brokenRules(s.Evidence)
				if want := fields(c.broken); !slices.Equal(got, want) {
					t.Errorf("broken %v, want %v: %v", got, want, Check(s.Evidence))
				}
			})
		}
	}
}

// TestEveryRuleHasAControl checks that some evidence has a violation of each rule.
func TestEveryRuleHasAControl(t *testing.T) {
	shown := map[string]bool{}
	for _, group := range allControls {
		for _, c := range group {
			for _, name := range fields(c.broken) {
				shown[name] = true
			}
		}
	}
	for _, c := range checks {
		if !shown[c.rule] {
			t.Errorf("nothing shows %s broken", c.rule)
		}
	}
}

func TestInTouch(t *testing.T) {
	s := newScenario()
	all := len(s.Attempts)
	if n := s.CountInContact(); all == 0 || n != all {
		t.Errorf("%d of %d without trouble", n, all)
	}
	s.BeginFault(Fault{Proxy: oneProxy, Kind: "cut"})
	if n := s.CountInContact(); n != 0 {
		t.Errorf("%d of %d through a proxy that is cut off", n, all)
	}
}

func TestCountWaiting(t *testing.T) {
	seen := newScenario()
	seen.serve("/mail/2", "mailer", 20*second) // ends 0.1 s later
	for _, c := range []struct {
		proxy    string
		from, to Time
		waited   int
	}{
		{oneProxy, 19 * second, 20*second + second/20, 1}, {oneProxy, 19 * second, 19*second + second/2, 0}, {oneProxy, 19 * second, 21 * second, 0},
		{oneProxy, 20*second + 1, 20*second + second/20, 0}, {"other", 19 * second, 20*second + second/20, 0},
	} {
		seen.Faults = nil
		seen.BeginFault(Fault{Proxy: c.proxy, Kind: Pause, At: c.from})(c.to)
		if n := seen.CountWaiting(); n != c.waited {
			t.Errorf("%+v: %d", c, n)
		}
		seen.Faults[0].Kind = "cut"
		if n := seen.CountWaiting(); n != 0 {
			t.Errorf("%d waited at a proxy that was cut off", n)
		}
	}
}

func TestVerdictLine(t *testing.T) {
	v := Verdict{Rule: "TWICE", Checked: 3}
	if got := v.String(); got != "TWICE     kept, looked at 3" {
		t.Error(got)
	}
	for range 5 {
		v.violation("it ran")
	}
	if got := v.String(); got != "TWICE     BROKEN 5 times, looked at 3: it ran; it ran; it ran" {
		t.Error(got)
	}
}
