package quotarpc

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/ownership"
	"gradeusher.example/gradeusher/internal/system/quota"
	"gradeusher.example/gradeusher/internal/system/quota/quotapb"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
	"gradeusher.example/gradeusher/internal/testsupport/memorynet"
)

var zoneNodes = []string{"a", "b", "c", "d", "self"}

func zonePeers() []Peer {
	var peers []Peer
	for _, node := range zoneNodes {
		peers = append(peers, Peer{Node: node, Address: node + ":1"})
	}
	return peers
}

// scriptedZone is a zone of scripted limiters. It records which of them a client asks.
type scriptedZone struct {
	network *memorynet.Network
	mu      sync.Mutex
	asked   []string
}

// newScriptedZone returns a client in a zone where all other limiters behave as take, and the own one admits all requests.
func newScriptedZone(t *testing.T, knobs TestingKnobs, take limitingFunc) (*scriptedZone, *Client) {
	t.Helper()
	zone := &scriptedZone{network: memorynet.New(nil)}
	for _, node := range zoneNodes {
		zone.network.Set(node, limitingHandler(func(ctx context.Context, request *quotapb.TakeRequest) (*quotapb.TakeReply, error) {
			zone.record(node)
			return take(ctx, request)
		}))
	}
	own := ownLimiterFunc(func(count int) TakeResult {
		zone.record("self")
		return TakeResult{Admitted: count}
	})
	client := NewClient(ClientOptions{Self: "self", Limiter: own, Transport: zone.network, Log: discardLogger(), Knobs: knobs})
	client.SetPeers(zonePeers())
	t.Cleanup(client.Close)
	return zone, client
}

func (z *scriptedZone) record(node string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.asked = append(z.asked, node)
}

func (z *scriptedZone) takeAsked() []string {
	z.mu.Lock()
	defer z.mu.Unlock()
	asked := z.asked
	z.asked = nil
	return asked
}

// tenantOwnedByOthers returns a tenant whose limiters do not include this proxy, and the nodes of those limiters.
func tenantOwnedByOthers() (tenant string, owners []string) {
	for tenant := 'a'; ; tenant++ {
		owners := ownership.Owners(string(tenant), zoneNodes, limitersPerTenant)
		if !slices.Contains(owners, "self") && !slices.IsSorted(owners) {
			return string(tenant), owners
		}
	}
}

// TestCandidateOrder checks that the limiters with the highest rendezvous weights are
// asked first, then the own one, and that limiters that failed are skipped for a second.
func TestCandidateOrder(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		zone, client := newScriptedZone(t, TestingKnobs{}, func(ctx context.Context, _ *quotapb.TakeRequest) (*quotapb.TakeReply, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		tenant, owners := tenantOwnedByOthers()
		inOrder := slices.Concat(owners, []string{"self"})
		for _, step := range []struct {
			pause time.Duration
			asked []string
			took  time.Duration
		}{
			{0, inOrder, 2 * limiterCallTimeout},
			{0, []string{"self"}, 0},
			{failurePenalty / 2, []string{"self"}, 0},
			{failurePenalty, inOrder, 2 * limiterCallTimeout},
		} {
			time.Sleep(step.pause)
			start := time.Now()
			admission := client.Admit(t.Context(), limitedTenant(tenant, 1, 1))
			asked, took := zone.takeAsked(), time.Since(start)
			if admission.Verdict != quota.Admitted || !slices.Equal(asked, step.asked) || took != step.took {
				t.Errorf("verdict %v after asking %v in %v, want it admitted after asking %v in %v",
					admission.Verdict, asked, took, step.asked, step.took)
			}
		}
	})
}

// TestCandidateOrderControl checks that without rendezvous hashing, which limiters are asked does not depend on the tenant.
func TestCandidateOrderControl(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		zone, client := newScriptedZone(t, TestingKnobs{AnyCandidate: true}, admitAll)
		tenant, owners := tenantOwnedByOthers()
		client.Admit(t.Context(), limitedTenant(tenant, 1, 1))
		if asked := zone.takeAsked(); asked[0] == owners[0] {
			t.Errorf("client asked %v, which begins with the first limiter of the tenant", asked)
		}
	})
}

// TestUndecidedGoToTheNextLimiter checks that requests that one limiter could not
// decide on go to the next one, unless the first has waited long for the allocator.
func TestUndecidedGoToTheNextLimiter(t *testing.T) {
	tenant, owners := tenantOwnedByOthers()
	for _, test := range []struct {
		waited  time.Duration
		verdict quota.Verdict
		asked   []string
	}{
		{0, quota.Admitted, slices.Concat(owners, []string{"self"})},
		{remoteWait, quota.Unavailable, owners[:1]},
	} {
		bubble.Test(t, func(t *testing.T) {
			zone, client := newScriptedZone(t, TestingKnobs{}, func(_ context.Context, request *quotapb.TakeRequest) (*quotapb.TakeReply, error) {
				time.Sleep(test.waited)
				return &quotapb.TakeReply{Call: request.GetCall(), Unavailable: request.GetCount()}, nil
			})
			admission := client.Admit(t.Context(), limitedTenant(tenant, 1, 1))
			if asked := zone.takeAsked(); admission.Verdict != test.verdict || !slices.Equal(asked, test.asked) {
				t.Errorf("limiter that waited for %v: verdict %v after asking %v", test.waited, admission.Verdict, asked)
			}
		})
	}
}

// TestLateAdmissionIsNotUsed checks that a process that is paused between asking a limiter and getting its answer does not use the answer.
func TestLateAdmissionIsNotUsed(t *testing.T) {
	for _, knobs := range []TestingKnobs{{}, {UseLateAdmissions: true}} {
		bubble.Test(t, func(t *testing.T) {
			paused := ownLimiterFunc(func(count int) TakeResult {
				time.Sleep(5 * time.Second) // the process is paused
				return TakeResult{Admitted: count}
			})
			client := NewClient(ClientOptions{Self: "self", Limiter: paused, Transport: memorynet.New(nil), Log: discardLogger(), Knobs: knobs})
			defer client.Close()
			admission := client.Admit(t.Context(), limitedTenant("t", 1, 1))
			if used := admission.Verdict == quota.Admitted; used != knobs.UseLateAdmissions {
				t.Errorf("knobs %+v: verdict %v", knobs, admission.Verdict)
			}
		})
	}
}

// TestMismatchedReplyIsRejected checks that replies that belong to other calls admit nothing.
func TestMismatchedReplyIsRejected(t *testing.T) {
	for _, knobs := range []TestingKnobs{{}, {AcceptAnyReply: true}} {
		bubble.Test(t, func(t *testing.T) {
			zone, client := newScriptedZone(t, knobs, func(_ context.Context, request *quotapb.TakeRequest) (*quotapb.TakeReply, error) {
				return &quotapb.TakeReply{Call: request.GetCall() + 1, Admitted: request.GetCount()}, nil
			})
			tenant, owners := tenantOwnedByOthers()
			client.Admit(t.Context(), limitedTenant(tenant, 1, 1))
			want := slices.Concat(owners, []string{"self"})
			if knobs.AcceptAnyReply {
				want = owners[:1]
			}
			if asked := zone.takeAsked(); !slices.Equal(asked, want) {
				t.Errorf("knobs %+v: client asked %v, want %v", knobs, asked, want)
			}
		})
	}
}

// TestReplyAdmitsNoMoreThanAsked checks that a reply that admits more requests than it was asked about is cut to that number.
func TestReplyAdmitsNoMoreThanAsked(t *testing.T) {
	taken := takeResultFromProto(3, &quotapb.TakeReply{Admitted: 5, Unavailable: 5})
	if taken != (TakeResult{Admitted: 3}) {
		t.Errorf("outcome %+v, want 3 requests admitted", taken)
	}
}

// TestClosedClient checks that no goroutine is left after Close, and that later requests are not admitted.
func TestClosedClient(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		_, client := newScriptedZone(t, TestingKnobs{}, admitAll)
		client.Close()
		tenant, _ := tenantOwnedByOthers()
		if admission := client.Admit(t.Context(), limitedTenant(tenant, 1, 1)); admission.Verdict != quota.Unavailable {
			t.Errorf("verdict after Close: %v, want unavailable", admission.Verdict)
		}
	})
}
