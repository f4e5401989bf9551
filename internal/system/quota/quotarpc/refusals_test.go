package quotarpc

import (
	"slices"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/quota"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// TestRefusals checks that Refusals reports why and when requests of a tenant were refused, and which limiter decides.
func TestRefusals(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		decisions := []TakeResult{{OverLimit: 1}, {OverLimit: 1}, {Unavailable: 1}, {Admitted: 1}}
		own := ownLimiterFunc(func(int) TakeResult {
			taken := decisions[0]
			decisions = decisions[1:]
			return taken
		})
		client := NewClient(ClientOptions{Self: "self", Limiter: own, Log: discardLogger()})
		defer client.Close()
		for range 4 {
			client.Admit(t.Context(), limitedTenant("t", 1, 1))
		}
		time.Sleep(time.Second)
		want := []Refusal{{Tenant: "t", Limiter: "self", OverLimit: 2, Unavailable: 1, Last: quota.Unavailable, SinceLast: time.Second}}
		if got := client.Refusals(); !slices.Equal(got, want) {
			t.Errorf("unexpected refusals %+v", got)
		}
	})
}

// TestUsage checks that the usage reported by the allocator matches what its limiters hold.
func TestUsage(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		tenant := limitedTenant("t", 100, 50)
		fleet := newTestFleet(t, []*config.Tenant{tenant}, "a", "b", "c")
		fleet.sendRequests(t, "a", tenant, 50, 2*time.Second)
		usages, learning := fleet.allocator.Usage()
		if learning || len(usages) != 1 || len(usages[0].Holders) != 1 {
			t.Fatalf("usages %+v, learning %t, want one holder of one tenant", usages, learning)
		}
		holder := usages[0].Holders[0]
		if held := fleet.proxies[holder.Limiter.Node].limiter.Held("t"); held.IsZero() || held.Fraction > holder.Share.Fraction {
			t.Errorf("limiter holds %+v, but only %+v is outstanding at the allocator", held, holder.Share)
		}
		fleet.chain.enter(2, "10.0.0.9")
		if usages, learning := fleet.allocator.Usage(); usages != nil || learning {
			t.Errorf("a node that is not the allocator reports usages %+v", usages)
		}
	})
}
