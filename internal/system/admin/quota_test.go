package admin

import (
	"reflect"
	"slices"
	"testing"

	"gradeusher.example/gradeusher/internal/system/quota"
)

// TestFleetQuota checks that only the quotas of the current allocator of the newest epoch are used, and that the
// owner of the role is always listed.
func TestFleetQuota(t *testing.T) {
	leased := []TenantQuota{{Tenant: "t", Fraction: 0.5}}
	answer := func(epoch uint64, current bool, tenants []TenantQuota) NodeAnswer {
		return NodeAnswer{Status: &NodeStatus{Epoch: epoch, Current: current, Quota: &QuotaStatus{Owner: "10.0.0.2", Tenants: tenants}}}
	}
	for _, test := range []struct {
		name    string
		answers []NodeAnswer
		want    []TenantQuota
	}{
		{"the allocator", []NodeAnswer{answer(4, true, nil), answer(4, true, leased)}, leased},
		{"a former allocator", []NodeAnswer{answer(4, true, nil), answer(3, true, leased)}, nil},
		{"an allocator that is not current", []NodeAnswer{answer(4, true, nil), answer(4, false, leased)}, nil},
	} {
		fleet := mergeAnswers(test.answers)
		var got []TenantQuota
		if fleet.Quota != nil {
			got = fleet.Quota.Tenants
		}
		if !reflect.DeepEqual(got, test.want) || !slices.Contains(fleet.Roles, SingletonRole{"quota", "10.0.0.2"}) {
			t.Errorf("%s: %+v, roles %v", test.name, got, fleet.Roles)
		}
	}
}

// TestTenantQuotas checks that the status has each holder once, with its share.
func TestTenantQuotas(t *testing.T) {
	share := quota.Share{Fraction: 0.25, Extra: 1}
	got := TenantQuotas([]quota.TenantUsage{{Tenant: "t", Leased: share, RatePerSecond: 3,
		Holders: []quota.HolderUsage{{Limiter: quota.LimiterID{Node: "p", Incarnation: 7}, Share: share, RatePerSecond: 3, Age: 12e6}}}})
	want := []TenantQuota{{Tenant: "t", Fraction: 0.25, Extra: 1, RatePerSecond: 3,
		Holders: []QuotaHolder{{Node: "p", Fraction: 0.25, Extra: 1, RatePerSecond: 3, AgeMS: 12}}}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v", got)
	}
}
