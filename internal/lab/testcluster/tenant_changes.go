package testcluster

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

// RemoveKey takes a key away from the tenant that holds it, as a new revision. The tenant must hold another one.
func (r *Run) RemoveKey(ctx context.Context, revision int64, key string) error {
	return r.changeTenants(ctx, revision, func(tenant *rules.Tenant) {
		tenant.Keys = slices.DeleteFunc(tenant.Keys, func(held string) bool { return held == key })
	})
}

// AddKey gives a tenant a key, as a new revision. It does nothing to a tenant that holds the key.
func (r *Run) AddKey(ctx context.Context, revision int64, name, key string) error {
	return r.changeTenants(ctx, revision, func(tenant *rules.Tenant) {
		if tenant.Name == name && !slices.Contains(tenant.Keys, key) {
			tenant.Keys = append(tenant.Keys, key)
		}
	})
}

// SetLimit changes the limit of a tenant, in requests a second and requests besides, as a new revision.
func (r *Run) SetLimit(ctx context.Context, revision int64, name string, ratePerSecond, burst float64) error {
	return r.changeTenants(ctx, revision, func(tenant *rules.Tenant) {
		if tenant.Name == name {
			tenant.RatePerSecond, tenant.Burst = ratePerSecond, burst
		}
	})
}

// changeTenants replaces the configuration by one in which change has changed the tenants.
func (r *Run) changeTenants(ctx context.Context, revision int64, change func(*rules.Tenant)) error {
	after := cloneTenants(r.Scenario.Config, revision)
	for i := range after.Tenants {
		change(&after.Tenants[i])
	}
	return r.ReplaceConfig(ctx, after)
}

// cloneTenants returns the configuration under another revision, with tenants and keys of its own.
func cloneTenants(config *rules.Config, revision int64) *rules.Config {
	clone := *config
	clone.Revision, clone.Tenants = revision, slices.Clone(config.Tenants)
	for i := range clone.Tenants {
		clone.Tenants[i].Keys = slices.Clone(clone.Tenants[i].Keys)
	}
	return &clone
}

// SendSharedKey sends a configuration in which two tenants share a key, and fails unless that is refused.
func (r *Run) SendSharedKey(ctx context.Context, rng *rand.Rand) error {
	bad := cloneTenants(r.Scenario.Config, r.NextRevision(rng))
	if len(bad.Tenants) < 2 {
		return errors.New("a key is shared by two tenants, and the scenario has fewer")
	}
	bad.Tenants[1].Keys = append(bad.Tenants[1].Keys, bad.Tenants[0].Keys[0])
	if err := r.Operator.ReplaceInvalid(ctx, bad, r.Scenario.Config.Revision); !errors.Is(err, ErrRefused) {
		return errors.Newf("a configuration in which two tenants share a key was not refused: %v", err)
	}
	return nil
}
