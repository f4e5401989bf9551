package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"gradeusher.example/gradeusher/internal/system/admin"
)

type systemStatusCommand struct {
	Keepers []string      `arg:"" help:"Control addresses of keepers (IP:PORT); the others of the view are asked too, at the first one's port."`
	JSON    bool          `help:"Print as JSON." name:"json"`
	Wait    string        `help:"Wait until this change is in force at all keepers and live proxies: number:N or revision:N. Exit 1: it is not in time."`
	For     time.Duration `help:"How long to wait with --wait; at most an hour." default:"10s"`
}

// Run prints what keepers and proxies hold. It fails where no keeper is current, and where the keepers do not bear the losses
// that the deployment's tolerance names.
func (c systemStatusCommand) Run(ctx context.Context, stdio streams) error {
	var client admin.Client
	if c.Wait != "" {
		return c.waitForChange(ctx, stdio, &client)
	}
	f, err := client.Fleet(ctx, c.Keepers)
	if err != nil {
		return err
	}
	if err := c.printFleet(stdio.out, f); err != nil {
		return err
	}
	if !f.Current() {
		return errors.New("no keeper is current: changes are not taken, see docs/oncall-system.md")
	}
	if f.Capacity != nil && !f.Capacity.ToleranceMet {
		return fmt.Errorf("the keepers do not bear the losses that [tolerance] names: %s", f.Capacity.Remedy)
	}
	return nil
}

func (c systemStatusCommand) waitForChange(ctx context.Context, stdio streams, client *admin.Client) error {
	change, err := admin.ParseChange(c.Wait)
	if err != nil {
		return fmt.Errorf("%w: --wait: %w", errUsage, err)
	}
	if c.For <= 0 || c.For > time.Hour {
		return fmt.Errorf("%w: --for %v is not within 1ns to 1h", errUsage, c.For)
	}
	ctx, cancel := context.WithTimeout(ctx, c.For)
	defer cancel()
	f, err := client.Wait(ctx, c.Keepers, change)
	if f != nil && c.JSON {
		if err := c.printFleet(stdio.out, f); err != nil {
			return err
		}
	}
	if err != nil {
		return err
	}
	if !c.JSON {
		fmt.Fprintf(stdio.out, "%s is in force at %d keepers and %d proxies\n", change, len(f.Nodes), len(f.Proxies))
	}
	return nil
}

func (c systemStatusCommand) printFleet(w io.Writer, f *admin.Fleet) error {
	if c.JSON {
		return json.NewEncoder(w).Encode(f)
	}
	fmt.Fprintf(w, "view %d, chain %s\n", f.Epoch, orNone(f.Chain))
	fmt.Fprintf(w, "record %d, revision %d, evacuated zones: %s\n", f.Number, f.Revision, orNone(f.Evacuated))
	printCapacity(w, f.Capacity)
	for _, d := range f.Roles {
		fmt.Fprintf(w, "duty %s: %s\n", d.Name, orNone([]string{d.Owner}))
	}
	for _, v := range f.Voters {
		place := "outside the chain"
		if i := slices.Index(f.Chain, v.Address); i >= 0 {
			place = fmt.Sprintf("link %d of %d", i+1, len(f.Chain))
		}
		fmt.Fprintf(w, "voter %-15s %s, %s: %s\n", v.Address, v.Zone, v.Region, place)
	}
	for _, a := range f.Nodes {
		printNode(w, a)
	}
	for _, p := range f.Proxies {
		behind := "newest"
		if p.Acknowledged < f.Number {
			behind = fmt.Sprintf("%d behind", f.Number-p.Acknowledged)
		}
		fmt.Fprintf(w, "proxy %-20s record %d, %s, silent for %d ms, follows %s\n", p.Node, p.Acknowledged, behind, p.SinceLastCallMS, p.Server)
	}
	for _, node := range f.Unseen {
		fmt.Fprintf(w, "proxy %-20s follows no keeper that answers\n", node)
	}
	return nil
}

func printCapacity(w io.Writer, have *admin.Capacity) {
	if have == nil {
		return
	}
	fmt.Fprintf(w, "tolerance: %s, %d of %d voters (%d silent), %d links (%d needed), %d observers\n",
		choose(have.ToleranceMet, "borne", "NOT borne"), have.Voters, have.VotersDesired, have.VotersTimedOut, have.ChainReplicas, have.ChainReplicasRequired, have.Observers)
}

func printNode(w io.Writer, a admin.NodeAnswer) {
	s := a.Status
	if s == nil {
		fmt.Fprintf(w, "keeper %-21s %s\n", a.Address, a.Error)
		return
	}
	at := fmt.Sprintf("%s: %s, view %d, record %d, revision %d", s.Node, choose(s.Current, "current", "NOT current"), s.Epoch, s.Number, s.Revision)
	if s.Observer {
		fmt.Fprintf(w, "observer %-19s %s, no disk, no vote\n", a.Address, at)
		return
	}
	list := "none"
	if s.ListAgeMS >= 0 {
		list = fmt.Sprintf("%d ms old", s.ListAgeMS)
	}
	fmt.Fprintf(w, "keeper %-21s %s, %d servers, list %s, %d proxies\n", a.Address, at, s.Servers, list, len(s.Proxies))
}

func orNone(all []string) string {
	if text := strings.Join(all, " "); text != "" {
		return text
	}
	return "none"
}
