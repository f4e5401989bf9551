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

	"gradeusher.example/gradeusher/internal/system/staff"
)

type systemStatusCommand struct {
	Keepers []string      `arg:"" help:"Control addresses of keepers (IP:PORT); the others of the view are asked too, at the first one's port."`
	JSON    bool          `help:"Print as JSON." name:"json"`
	Wait    string        `help:"Wait until this change is in force at all keepers and live proxies: number:N or revision:N. Exit 1: it is not in time."`
	For     time.Duration `help:"How long to wait with --wait; at most an hour." default:"10s"`
}

// Run prints what keepers and proxies hold. It fails where no keeper is current.
func (c systemStatusCommand) Run(ctx context.Context, s streams) error {
	var client staff.Client
	if c.Wait != "" {
		return c.wait(ctx, s, &client)
	}
	f, err := client.Fleet(ctx, c.Keepers)
	if err != nil {
		return err
	}
	if err := c.print(s.out, f); err != nil {
		return err
	}
	if !f.Current() {
		return errors.New("no keeper is current: changes are not taken, see docs/oncall-system.md")
	}
	return nil
}

func (c systemStatusCommand) wait(ctx context.Context, s streams, client *staff.Client) error {
	change, err := staff.ParseChange(c.Wait)
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
		if err := c.print(s.out, f); err != nil {
			return err
		}
	}
	if err != nil {
		return err
	}
	if !c.JSON {
		fmt.Fprintf(s.out, "%s is in force at %d keepers and %d proxies\n", change, len(f.Keepers), len(f.Proxies))
	}
	return nil
}

func (c systemStatusCommand) print(w io.Writer, f *staff.Fleet) error {
	if c.JSON {
		return json.NewEncoder(w).Encode(f)
	}
	fmt.Fprintf(w, "view %d, chain %s\n", f.Epoch, orNone(f.Chain))
	fmt.Fprintf(w, "record %d, revision %d, evacuated zones: %s\n", f.Number, f.Revision, orNone(f.Evacuated))
	for _, d := range f.Duties {
		fmt.Fprintf(w, "duty %s: %s\n", d.Name, orNone([]string{d.Holder}))
	}
	for _, v := range f.Voters {
		place := "outside the chain"
		if i := slices.Index(f.Chain, v.Address); i >= 0 {
			place = fmt.Sprintf("link %d of %d", i+1, len(f.Chain))
		}
		fmt.Fprintf(w, "voter %-15s %s, %s: %s\n", v.Address, v.Zone, v.Region, place)
	}
	for _, a := range f.Keepers {
		if a.Status == nil {
			fmt.Fprintf(w, "keeper %-21s %s\n", a.Address, a.Error)
			continue
		}
		current, list := "current", "none"
		if !a.Status.Current {
			current = "NOT current"
		}
		if a.Status.ListAgeMS >= 0 {
			list = fmt.Sprintf("%d ms old", a.Status.ListAgeMS)
		}
		fmt.Fprintf(w, "keeper %-21s %s: %s, view %d, record %d, revision %d, %d servers, list %s, %d proxies\n", a.Address, a.Status.Node,
			current, a.Status.Epoch, a.Status.Number, a.Status.Revision, a.Status.Servers, list, len(a.Status.Proxies))
	}
	for _, p := range f.Proxies {
		behind := "newest"
		if p.Acknowledged < f.Number {
			behind = fmt.Sprintf("%d behind", f.Number-p.Acknowledged)
		}
		fmt.Fprintf(w, "proxy %-20s record %d, %s, silent for %d ms, follows %s\n", p.Node, p.Acknowledged, behind, p.SilentMS, p.Keeper)
	}
	for _, node := range f.Unseen {
		fmt.Fprintf(w, "proxy %-20s follows no keeper that answers\n", node)
	}
	return nil
}

func orNone(all []string) string {
	if text := strings.Join(all, " "); text != "" {
		return text
	}
	return "none"
}
