package singleton

import (
	"context"
	mrand "math/rand/v2"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/client"
)

const minCampaignTimeout = 3 * time.Second // of the call with which a process becomes a candidate

// runCampaigns has the process become a candidate for the wanted roles that are absent, at first and whenever it is signalled.
func (r *Runner) runCampaigns(ctx context.Context) {
	r.campaignForAbsent(ctx)
	for {
		select {
		case <-r.campaignNow:
		case <-ctx.Done():
			return
		}
		// Many processes may have timed out as candidates at once, as when the registry comes back.
		timer := time.NewTimer(mrand.N(r.options.Lease / 8))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		r.campaignForAbsent(ctx)
	}
}

// campaign is a role that the process is to become a candidate for.
type campaign struct{ name, location string }

func (r *Runner) campaignForAbsent(ctx context.Context) {
	campaigns := r.absentRoles()
	// In random order, so that two processes that come together share the roles that are free.
	slices.SortFunc(campaigns, func(_, _ campaign) int { return mrand.IntN(3) - 1 })
	for _, c := range campaigns {
		r.campaign(ctx, c)
	}
}

func (r *Runner) absentRoles() (campaigns []campaign) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, wanted := range r.wanted {
		if wanted.absent && !r.ending && wanted.lease == nil {
			campaigns = append(campaigns, campaign{name, wanted.location})
		}
	}
	return campaigns
}

func (r *Runner) campaign(ctx context.Context, c campaign) {
	callCtx, cancel := context.WithTimeout(ctx, max(r.options.Lease, minCampaignTimeout))
	defer cancel()
	_, err := r.client.ChangeRole(callCtx, client.Campaign, c.name, client.RoleCall{
		Process:      r.process,
		Location:     r.options.Location,
		RoleLocation: c.location,
		Load:         r.options.Load,
		TTLMS:        r.options.Lease.Milliseconds(),
	})
	if err != nil && ctx.Err() == nil {
		r.options.Log.Warn("campaign", "name", c.name, "err", err) // the next renewal shows that the role is absent
	}
	signal(r.renewNow)
}
