package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"gradeusher.example/gradeusher/internal/system/admin"
)

// maxWait bounds how long status waits for a change.
const maxWait = time.Hour

type systemStatusCommand struct {
	Keepers []string      `arg:"" help:"Control addresses of keepers (IP:PORT); the others of the view are asked too, at the first one's port."`
	JSON    bool          `help:"Print as JSON." name:"json"`
	Wait    string        `help:"Wait until this change is in force at all keepers and live proxies: number:N or revision:N. Exit 1: it is not in time."`
	For     time.Duration `help:"How long to wait with --wait; at most an hour." default:"10s"`
}

var errNoneCurrent = errors.New("no keeper is current: changes are not taken, see docs/oncall-system.md")

// Run prints the state of control-plane nodes and proxies. It fails where no node is current, and where the nodes do not bear the losses
// that the deployment's tolerance names.
func (c systemStatusCommand) Run(ctx context.Context, stdio streams) error {
	var client admin.Client
	if c.Wait != "" {
		return c.waitForChange(ctx, stdio, &client)
	}
	fleet, err := client.Fleet(ctx, c.Keepers)
	if err != nil {
		return err
	}
	if err := c.printFleet(stdio, fleet); err != nil {
		return err
	}
	if !fleet.Current() {
		return errNoneCurrent
	}
	if fleet.Capacity != nil && !fleet.Capacity.ToleranceMet {
		return fmt.Errorf("the keepers do not bear the losses that [tolerance] names: %s", fleet.Capacity.Remedy)
	}
	return nil
}

func (c systemStatusCommand) waitForChange(ctx context.Context, stdio streams, client *admin.Client) error {
	change, err := admin.ParseChange(c.Wait)
	if err != nil {
		return fmt.Errorf("%w: --wait: %w", errUsage, err)
	}
	if c.For <= 0 || c.For > maxWait {
		return fmt.Errorf("%w: --for %v is not within 1ns to 1h", errUsage, c.For)
	}
	ctx, cancel := context.WithTimeout(ctx, c.For)
	defer cancel()
	fleet, err := client.Wait(ctx, c.Keepers, change)
	if fleet != nil && c.JSON {
		if err := c.printFleet(stdio, fleet); err != nil {
			return err
		}
	}
	if err != nil {
		return err
	}
	if !c.JSON {
		stdio.printf("%s is in force at %d keepers and %d proxies\n", change, len(fleet.Nodes), len(fleet.Proxies))
	}
	return nil
}

func (c systemStatusCommand) printFleet(stdio streams, fleet *admin.Fleet) error {
	if c.JSON {
		return json.NewEncoder(stdio.out).Encode(fleet)
	}
	stdio.printf("view %d, chain %s\n", fleet.Epoch, orNone(fleet.Chain))
	stdio.printf("record %d, revision %d, evacuated zones: %s\n", fleet.Number, fleet.Revision, orNone(fleet.Evacuated))
	printCapacity(stdio, fleet.Capacity)
	for _, role := range fleet.Roles {
		stdio.printf("duty %s: %s\n", role.Name, orNone([]string{role.Owner}))
	}
	printVoters(stdio, fleet)
	for _, answer := range fleet.Nodes {
		printNode(stdio, answer)
	}
	printProxies(stdio, fleet)
	printQuota(stdio, fleet.Quota)
	return nil
}

func printVoters(stdio streams, fleet *admin.Fleet) {
	for _, voter := range fleet.Voters {
		position := "outside the chain"
		if i := slices.Index(fleet.Chain, voter.Address); i >= 0 {
			position = fmt.Sprintf("link %d of %d", i+1, len(fleet.Chain))
		}
		stdio.printf("voter %-15s %s, %s: %s\n", voter.Address, voter.Zone, voter.Region, position)
	}
}

func printProxies(stdio streams, fleet *admin.Fleet) {
	for _, proxy := range fleet.Proxies {
		progress := "newest"
		if proxy.Acknowledged < fleet.Number {
			progress = fmt.Sprintf("%d behind", fleet.Number-proxy.Acknowledged)
		}
		stdio.printf("proxy %-20s record %d, %s, silent for %d ms, follows %s\n", proxy.Node, proxy.Acknowledged, progress, proxy.SinceLastCallMS, proxy.Server)
	}
	for _, node := range fleet.Unseen {
		stdio.printf("proxy %-20s follows no keeper that answers\n", node)
	}
}

// printQuota prints who holds which share of tenants' limits.
func printQuota(stdio streams, quota *admin.QuotaStatus) {
	if quota == nil {
		return
	}
	if quota.Learning {
		stdio.println("quota: the allocator has just begun and learns what is leased")
	}
	for _, tenant := range quota.Tenants {
		stdio.printf("tenant %-20s %.3f of the limit and %d tokens leased, %.1f requests/s asked\n", tenant.Tenant, tenant.Fraction, tenant.Extra,
			tenant.RatePerSecond)
		for _, holder := range tenant.Holders {
			stdio.printf("  limiter %-17s %.3f of the limit and %d tokens, %.1f requests/s asked, %d ms old\n", holder.Node, holder.Fraction, holder.Extra,
				holder.RatePerSecond, holder.AgeMS)
		}
	}
}

func printCapacity(stdio streams, capacity *admin.Capacity) {
	if capacity == nil {
		return
	}
	stdio.printf("tolerance: %s, %d of %d voters (%d silent), %d links (%d needed), %d observers\n",
		choose(capacity.ToleranceMet, "borne", "NOT borne"), capacity.Voters, capacity.VotersDesired, capacity.VotersTimedOut, capacity.ChainReplicas,
		capacity.ChainReplicasRequired, capacity.Observers)
}

func printNode(stdio streams, answer admin.NodeAnswer) {
	status := answer.Status
	if status == nil {
		stdio.printf("keeper %-21s %s\n", answer.Address, answer.Error)
		return
	}
	state := fmt.Sprintf("%s: %s, view %d, record %d, revision %d", status.Node, choose(status.Current, "current", "NOT current"), status.Epoch,
		status.Number, status.Revision)
	if status.Observer {
		stdio.printf("observer %-19s %s, no disk, no vote\n", answer.Address, state)
		return
	}
	list := "none"
	if status.ListAgeMS >= 0 {
		list = fmt.Sprintf("%d ms old", status.ListAgeMS)
	}
	stdio.printf("keeper %-21s %s, %d servers, list %s, %d proxies\n", answer.Address, state, status.Servers, list, len(status.Proxies))
}

// orNone joins words with spaces; without any it says so.
func orNone(words []string) string {
	if text := strings.Join(words, " "); text != "" {
		return text
	}
	return "none"
}

// choose returns the word for what is so or not.
func choose(holds bool, yes, no string) string {
	if holds {
		return yes
	}
	return no
}
