package quotarpc

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/ownership"
	"gradeusher.example/gradeusher/internal/system/quota/quotapb"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// chainOfTwo returns the addresses of a chain of two nodes, of which owner owns Role.
func chainOfTwo() (owner, other string) {
	owner = ownership.Owner(Role, []string{"10.0.0.1", "10.0.0.2"})
	if owner == "10.0.0.1" {
		return owner, "10.0.0.2"
	}
	return owner, "10.0.0.1"
}

func newAllocation(self string, chain *fakeChain, knobs TestingKnobs) *AllocationServer {
	return NewAllocationServer(AllocationOptions{Self: self, Chain: chain, Bounds: testBounds, Log: discardLogger(), Knobs: knobs})
}

// lease makes a lease call as a limiter with demand for tenant t.
func lease(t *testing.T, server *AllocationServer, sequence uint64) (*quotapb.LeaseReply, error) {
	t.Helper()
	return server.Lease(t.Context(), &quotapb.LeaseRequest{Call: 7, Node: "p", Incarnation: 1, Sequence: sequence,
		Demands: []*quotapb.Demand{{Tenant: "t", RatePerSecond: 10}}})
}

// TestOnlyTheConfirmedOwnerAnswers checks that a node grants nothing unless it owns the role in a confirmed epoch.
func TestOnlyTheConfirmedOwnerAnswers(t *testing.T) {
	owner, other := chainOfTwo()
	for _, test := range []struct {
		name     string
		self     string
		prepare  func(chain *fakeChain)
		answers  bool
		referral string
	}{
		{"the owner", owner, func(*fakeChain) {}, true, ""},
		{"another replica", other, func(*fakeChain) {}, false, owner},
		{"a node outside the chain", "10.0.0.3", func(*fakeChain) {}, false, owner},
		{"an owner that is not current", owner, func(c *fakeChain) { c.stale = true }, false, ""},
		{"without a view", owner, func(c *fakeChain) { c.enter(0) }, false, ""},
		{"a view that changes during the check", owner, func(c *fakeChain) { c.onCurrent = func() { c.enter(2, other) } }, false, ""},
	} {
		chain := newFakeChain([]*config.Tenant{limitedTenant("t", 10, 10)}, owner, other)
		test.prepare(chain)
		reply, err := lease(t, newAllocation(test.self, chain, TestingKnobs{}), 1)
		answers := err == nil && reply.GetOwner() == ""
		if answers != test.answers || reply.GetOwner() != test.referral {
			t.Errorf("%s: reply %v, error %v", test.name, reply, err)
		}
	}
}

// TestOwnerThatIsNotCurrentControl checks that without the check for Current, a node answers that may have been replaced.
func TestOwnerThatIsNotCurrentControl(t *testing.T) {
	owner, other := chainOfTwo()
	chain := newFakeChain(nil, owner, other)
	chain.stale = true
	if reply, err := lease(t, newAllocation(owner, chain, TestingKnobs{SkipCurrent: true}), 1); err != nil || reply.GetOwner() != "" {
		t.Errorf("reply %v, error %v, want an answer as the allocator", reply, err)
	}
}

// termSteps are sequences of views, each with whether a new term begins at the last view.
var termSteps = []struct {
	name   string
	views  func(enter func(epoch uint64, addresses ...string), owner, other string)
	begins bool
}{
	{"the next epoch, same owner", func(enter func(uint64, ...string), owner, other string) { enter(2, owner, other) }, false},
	{"an epoch was missed", func(enter func(uint64, ...string), owner, other string) {
		time.Sleep(maxInterruption + time.Millisecond)
		enter(3, owner, other)
	}, true},
	{"another was the owner", func(enter func(uint64, ...string), owner, other string) {
		enter(2, other)
		time.Sleep(maxInterruption + time.Millisecond)
		enter(3, owner, other)
	}, true},
	{"another was the owner for less than it takes to grant anything", func(enter func(uint64, ...string), owner, other string) {
		enter(2, other)
		time.Sleep(maxInterruption)
		enter(3, owner, other)
	}, false},
}

// TestTermOfAuthority checks that a node that may have been replaced in the meantime learns again what is outstanding.
func TestTermOfAuthority(t *testing.T) {
	owner, other := chainOfTwo()
	for _, knobs := range []TestingKnobs{{}, {KeepTerm: true}} {
		for _, test := range termSteps {
			bubble.Test(t, func(t *testing.T) {
				chain := newFakeChain([]*config.Tenant{limitedTenant("t", 10, 10)}, owner, other)
				server := newAllocation(owner, chain, knobs)
				server.observe()
				time.Sleep(learningTime)
				if reply, err := lease(t, server, 1); err != nil || reply.GetLearning() {
					t.Fatalf("allocator is still learning: reply %v, error %v", reply, err)
				}
				test.views(func(epoch uint64, addresses ...string) {
					chain.enter(epoch, addresses...)
					server.observe()
				}, owner, other)
				reply, err := lease(t, server, 2)
				begins := test.begins && !knobs.KeepTerm
				if err != nil || reply.GetLearning() != begins {
					t.Errorf("%s, knobs %+v: reply %v, error %v", test.name, knobs, reply, err)
				}
			})
		}
	}
}

// TestTermBeginsWithoutACall checks that a node that becomes the allocator begins its term without waiting for a call.
func TestTermBeginsWithoutACall(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, nil)
		if terms := fleet.allocator.counters.terms.Load(); terms != 1 {
			t.Errorf("%d terms have begun, want 1", terms)
		}
	})
}

// TestLimitsComeFromTheCommittedConfiguration checks that a tenant that is not in the newest configuration gets no grant.
func TestLimitsComeFromTheCommittedConfiguration(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		chain := newFakeChain([]*config.Tenant{limitedTenant("other", 10, 10)}, "10.0.0.1")
		server := newAllocation("10.0.0.1", chain, TestingKnobs{})
		server.observe()
		time.Sleep(learningTime)
		if reply, err := lease(t, server, 1); err != nil || len(reply.GetGrants()) != 0 {
			t.Errorf("reply %v, error %v, want no grants for an unknown tenant", reply, err)
		}
		chain.state.Config = &config.Config{Tenants: []*config.Tenant{limitedTenant("t", 10, 10)}}
		if reply, err := lease(t, server, 2); err != nil || len(reply.GetGrants()) != 1 {
			t.Errorf("reply %v, error %v, want one grant", reply, err)
		}
	})
}
