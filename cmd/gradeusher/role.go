package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/singleton"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

type roleCommands struct {
	List    roleListCommand    `cmd:"" help:"Print who holds what, under which epoch, and who waits."`
	Hold    roleHoldCommand    `cmd:"" help:"Wait for a duty and run a command only while it is held."`
	Release roleReleaseCommand `cmd:"" help:"Have the holder of a duty hand it to the next in line."`
	Move    roleMoveCommand    `cmd:"" help:"Have the holder of a duty hand it to a process that waits for it."`
	Sweep   roleSweepCommand   `cmd:"" help:"Be a candidate for the duty \"sweep\": in office, have keepers forget duties out of use."`
	Guard   roleGuardCommand   `cmd:"" hidden:"" help:"Run a command until the time that descriptor 3 tells."`
}

type roleListCommand struct {
	registryFlags
	Name string `arg:"" optional:"" help:"Only this one."`
	JSON bool   `help:"Print as JSON." name:"json"`
}

// Run prints them, with every change that was acknowledged before.
func (c roleListCommand) Run(ctx context.Context, stdio streams) error {
	return c.withClient(ctx, func(ctx context.Context, nodes *client.Client) error {
		n, err := nodes.Roles(ctx, c.Name)
		if err != nil {
			return err
		}
		if c.Name != "" && len(n.Roles) == 0 {
			return fmt.Errorf("no duty %q", c.Name)
		}
		if c.JSON {
			return json.NewEncoder(stdio.out).Encode(n)
		}
		for _, d := range n.Roles {
			printRole(stdio, d)
		}
		return nil
	})
}

func printRole(stdio streams, d state.Role) {
	held := "nobody"
	if h := d.Owner; h != nil {
		held = fmt.Sprintf("%s since %s, lease %v", h.Process, time.UnixMilli(d.SinceMS).UTC().Format(time.RFC3339), time.Duration(h.TTLMS)*time.Millisecond)
	}
	if d.HandoverRequested {
		held += ", asked to hand over to " + cmp.Or(d.Successor, "the next")
	}
	if d.RenewalBarred {
		held += ", out at the end of its lease"
	}
	fmt.Fprintf(stdio.out, "%-20s epoch %-4d step %-4d held by %s; %d wait\n", d.Name, d.Epoch, d.StepNo, held, len(d.Waiting))
	for _, f := range d.Failures {
		fmt.Fprintf(stdio.out, "%-20s %s failed %d times, passed over until %s\n", "", f.Name, f.Count, time.UnixMilli(f.UntilMS).UTC().Format(time.RFC3339))
	}
}

type roleReleaseCommand struct {
	registryFlags
	Name  string `arg:"" help:"The duty."`
	Force bool   `help:"For a holder that does not answer: its renewals are refused, and it is out when its lease ends."`
}

// Run asks the holder.
func (c roleReleaseCommand) Run(ctx context.Context, stdio streams) error {
	return c.requestHandover(ctx, stdio, c.Name, client.RoleCall{Force: c.Force})
}

type roleMoveCommand struct {
	registryFlags
	Name  string `arg:"" help:"The duty."`
	To    string `arg:"" help:"A process that waits for it: a name, or NAME#RUN."`
	Force bool   `help:"For a holder that does not answer: its renewals are refused, and it is out when its lease ends."`
}

// Run asks the holder.
func (c roleMoveCommand) Run(ctx context.Context, stdio streams) error {
	return c.requestHandover(ctx, stdio, c.Name, client.RoleCall{Successor: c.To, Force: c.Force})
}

// requestHandover has a holder asked to hand over, and says what stands then.
func (f registryFlags) requestHandover(ctx context.Context, stdio streams, name string, q client.RoleCall) error {
	return f.withClient(ctx, func(ctx context.Context, nodes *client.Client) error {
		d, err := nodes.ChangeRole(ctx, client.Move, name, q)
		if err == nil {
			printRole(stdio, d.Role)
		}
		return err
	})
}

type roleSweepCommand struct {
	Keepers string        `help:"Addresses of keepers, with commas." env:"GRADEUSHER_KEEPERS" required:""`
	As      string        `help:"Name of this process among those that wait; the host's, if it is not given."`
	Lease   time.Duration `help:"Length of the lease, 500ms to 5m." default:"5s"`
	Every   time.Duration `help:"How often to look." default:"1m"`
	Idle    time.Duration `help:"A duty is out of use that nobody has held or waited for during this; 1s at least." default:"24h"`
}

// Run waits and sweeps until interrupted.
func (c roleSweepCommand) Run(ctx context.Context, stdio streams) error {
	if c.Every <= 0 || c.Idle < state.MinIdle {
		return fmt.Errorf("%w: --every has to be above 0, and --idle %v at least", errUsage, state.MinIdle)
	}
	log := slog.New(slog.NewTextHandler(stdio.err, nil))
	name, err := processName(c.As)
	if err != nil {
		return err
	}
	runner, err := singleton.NewRunner(singleton.Options{Registry: strings.Split(c.Keepers, ","), Name: name, Lease: c.Lease, Log: log})
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	nodes, err := client.New(strings.Split(c.Keepers, ","))
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	defer nodes.Close()
	runner.Want(singleton.SweepRole, "", singleton.Sweep(nodes, c.Every, c.Idle, log))
	runner.Run(ctx, c.Lease)
	return nil
}

// processName is the name that a process was given, or its host's.
func processName(given string) (string, error) {
	if given != "" {
		return given, nil
	}
	host, err := os.Hostname()
	if err != nil {
		return "", fmt.Errorf("host name: %w", err)
	}
	return host, nil
}
