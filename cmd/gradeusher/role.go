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

// roleCommands are the commands for singleton roles, which operators know as duties.
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

// Run prints the roles, with every change that was acknowledged before.
func (c roleListCommand) Run(ctx context.Context, stdio streams) error {
	return c.withClient(ctx, func(ctx context.Context, nodes *client.Client) error {
		update, err := nodes.Roles(ctx, c.Name)
		if err != nil {
			return err
		}
		if c.Name != "" && len(update.Roles) == 0 {
			return fmt.Errorf("no duty %q", c.Name)
		}
		if c.JSON {
			return json.NewEncoder(stdio.out).Encode(update)
		}
		for i := range update.Roles {
			printRole(stdio, &update.Roles[i])
		}
		return nil
	})
}

func printRole(stdio streams, role *state.Role) {
	stdio.printf("%-20s epoch %-4d step %-4d held by %s; %d wait\n", role.Name, role.Epoch, role.StepNo, describeOwner(role), len(role.Waiting))
	for _, failure := range role.Failures {
		stdio.printf("%-20s %s failed %d times, passed over until %s\n", "", failure.Name, failure.Count, formatUnixMS(failure.UntilMS))
	}
}

// describeOwner says who owns the role, since when, and how the ownership is about to end.
func describeOwner(role *state.Role) string {
	text := "nobody"
	if owner := role.Owner; owner != nil {
		text = fmt.Sprintf("%s since %s, lease %v", owner.Process, formatUnixMS(role.SinceMS), time.Duration(owner.TTLMS)*time.Millisecond)
	}
	if role.HandoverRequested {
		text += ", asked to hand over to " + cmp.Or(role.Successor, "the next")
	}
	if role.RenewalBarred {
		text += ", out at the end of its lease"
	}
	return text
}

func formatUnixMS(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) }

type roleReleaseCommand struct {
	registryFlags
	Name  string `arg:"" help:"The duty."`
	Force bool   `help:"For a holder that does not answer: its renewals are refused, and it is out when its lease ends."`
}

// Run requests a handover to the next candidate.
func (c roleReleaseCommand) Run(ctx context.Context, stdio streams) error {
	return c.requestHandover(ctx, stdio, c.Name, client.RoleCall{Force: c.Force})
}

type roleMoveCommand struct {
	registryFlags
	Name  string `arg:"" help:"The duty."`
	To    string `arg:"" help:"A process that waits for it: a name, or NAME#RUN."`
	Force bool   `help:"For a holder that does not answer: its renewals are refused, and it is out when its lease ends."`
}

// Run requests a handover to the candidate that was named.
func (c roleMoveCommand) Run(ctx context.Context, stdio streams) error {
	return c.requestHandover(ctx, stdio, c.Name, client.RoleCall{Successor: c.To, Force: c.Force})
}

// requestHandover requests that a role's owner hands over, and prints the role as it is then.
func (f registryFlags) requestHandover(ctx context.Context, stdio streams, name string, call client.RoleCall) error {
	return f.withClient(ctx, func(ctx context.Context, nodes *client.Client) error {
		changed, err := nodes.ChangeRole(ctx, client.Move, name, call)
		if err == nil {
			printRole(stdio, &changed.Role)
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

// Run campaigns for the role of the sweeper, and sweeps while it owns that, until interrupted.
func (c roleSweepCommand) Run(ctx context.Context, stdio streams) error {
	if c.Every <= 0 || c.Idle < state.MinIdle {
		return fmt.Errorf("%w: --every has to be above 0, and --idle %v at least", errUsage, state.MinIdle)
	}
	log := slog.New(slog.NewTextHandler(stdio.err, nil))
	name, err := processName(c.As)
	if err != nil {
		return err
	}
	addresses := strings.Split(c.Keepers, ",")
	runner, err := singleton.NewRunner(singleton.Options{Registry: addresses, Name: name, Lease: c.Lease, Log: log})
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	nodes, err := client.New(addresses)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	defer nodes.Close()
	runner.Want(singleton.SweepRole, "", singleton.Sweep(nodes, c.Every, c.Idle, log))
	runner.Run(ctx, c.Lease)
	return nil
}

// processName returns the name that a process was given, or its host's.
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
