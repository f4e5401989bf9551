package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/list"
)

type listCommands struct {
	Get      listGetCommand      `cmd:"" help:"Print the list of servers."`
	Watch    listWatchCommand    `cmd:"" help:"Print what changes, until interrupted or --for."`
	Register listRegisterCommand `cmd:"" help:"Put a server on the list."`
	Drain    listDrainCommand    `cmd:"" help:"Have a server get no new work."`
	Serve    listServeCommand    `cmd:"" help:"End a drain."`
	Leave    listLeaveCommand    `cmd:"" help:"Remove a server."`
}

func printTargets(w io.Writer, all []list.Target) {
	for _, t := range all {
		boot := "long ago"
		if t.BootMS > 0 {
			boot = time.UnixMilli(t.BootMS).UTC().Format(time.RFC3339)
		}
		fmt.Fprintf(w, "%-20s %-9s %-21s az %-10s model %-10s booted %s\n", t.UID, t.State, t.Endpoint, t.Zone, t.Model, boot)
	}
}

type listGetCommand struct {
	registryFlags
	UID   string `arg:"" optional:"" help:"Only this server, with its revision."`
	Exact bool   `help:"Ask the leader: with every write that was acknowledged before."`
	JSON  bool   `help:"Print as JSON." name:"json"`
}

// Run prints it.
func (c listGetCommand) Run(ctx context.Context, stdio streams) error {
	return c.withClient(ctx, func(ctx context.Context, nodes *client.Client) error {
		if c.UID != "" {
			e, ok, err := nodes.Server(ctx, c.UID)
			if err != nil {
				return err
			}
			if !ok {
				return fmt.Errorf("no server %q", c.UID)
			}
			if c.JSON {
				return json.NewEncoder(stdio.out).Encode(e)
			}
			fmt.Fprintf(stdio.out, "revision %d, lease %d ms, %s\n", e.Revision, e.LeaseMS, e.Reason)
			printTargets(stdio.out, []list.Target{e.Target})
			return nil
		}
		l, err := nodes.List(ctx, c.Exact)
		if err != nil {
			return err
		}
		if c.JSON {
			return json.NewEncoder(stdio.out).Encode(l)
		}
		fmt.Fprintf(stdio.out, "revision %d of %s, %d servers\n", l.Rev, l.Cluster, len(l.Targets))
		printTargets(stdio.out, l.Targets)
		return nil
	})
}

type listWatchCommand struct {
	Keepers string        `help:"Addresses of keepers, with commas." env:"GRADEUSHER_KEEPERS" required:""`
	For     time.Duration `help:"How long; at most a day." default:"24h"`
	JSON    bool          `help:"Print as JSON, an object a line." name:"json"`
}

// Run prints changes. The watch goes on at another keeper when one is lost.
func (c listWatchCommand) Run(ctx context.Context, stdio streams) error {
	if c.For <= 0 || c.For > 24*time.Hour {
		return fmt.Errorf("%w: --for %v is not within 1ns to 24h", errUsage, c.For)
	}
	lines := json.NewEncoder(stdio.out)
	f, err := client.NewListSubscriber(client.ListOptions{Registry: strings.Split(c.Keepers, ","), ShrinkLimits: client.DefaultShrinkLimits,
		Log: slog.New(slog.NewTextHandler(stdio.err, nil)),
		OnUpdate: func(u client.ListUpdate) {
			if c.JSON {
				_ = lines.Encode(u) // to a reader that has gone
				return
			}
			printTargets(stdio.out, u.Targets)
		}})
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.For)
	defer cancel()
	f.Run(ctx)
	return nil
}

type listRegisterCommand struct {
	registryFlags
	UID      string        `arg:"" help:"Id of the server."`
	Endpoint string        `arg:"" help:"IP address and port."`
	Zone     string        `help:"Its area (az)."`
	Model    string        `help:"Its kind."`
	PodGroup int           `help:"Its cell."`
	Capacity float64       `help:"Capacity hint." default:"1"`
	BootMS   int64         `help:"When its process started, as Unix time in ms; 0: long ago." name:"boot-ms"`
	Lease    time.Duration `help:"It is drained when it does not renew for so long; 0: never." default:"0"`
	Expect   *int64        `help:"Only if its entry is at this revision; 0: only if it is not there."`
	Hold     bool          `help:"Renew the lease until interrupted, and leave then."`
}

// Run registers it, and stays if asked to.
func (c listRegisterCommand) Run(ctx context.Context, stdio streams) error {
	if c.Hold && c.Lease == 0 {
		return fmt.Errorf("%w: --hold needs --lease", errUsage)
	}
	r := list.Registration{Target: list.Target{UID: c.UID, Endpoint: c.Endpoint, Zone: c.Zone, Model: c.Model, PodGroup: c.PodGroup,
		State: list.Serving, Capacity: &c.Capacity, BootMS: c.BootMS}, LeaseMS: c.Lease.Milliseconds()}
	err := c.withClient(ctx, func(ctx context.Context, nodes *client.Client) error {
		d, err := nodes.Register(ctx, []list.Registration{r}, c.Expect)
		if err == nil {
			fmt.Fprintf(stdio.out, "revision %d\n", d.Revision)
		}
		return err
	})
	if err != nil || !c.Hold {
		return err
	}
	return c.keepRegistered(ctx, r)
}

// keepRegistered renews a registration until ctx is done, and takes it back.
func (c listRegisterCommand) keepRegistered(ctx context.Context, r list.Registration) error {
	nodes, err := client.New(strings.Split(c.Keepers, ","))
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	defer nodes.Close()
	nodes.KeepRegistered(ctx, r)
	leave, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.Within)
	defer cancel()
	_, err = nodes.Change(leave, client.Deregister, r.UID, nil)
	return err
}

// serverChange is a change to one server.
type serverChange struct {
	registryFlags
	UID    string `arg:"" help:"Id of the server."`
	Expect string `help:"Only if its entry is at this revision."`
}

func (c serverChange) apply(ctx context.Context, stdio streams, turn client.Action) error {
	var expect *int64
	if c.Expect != "" {
		n, err := strconv.ParseInt(c.Expect, 10, 64)
		if err != nil {
			return fmt.Errorf("%w: --expect: %q is no revision", errUsage, c.Expect)
		}
		expect = &n
	}
	return c.withClient(ctx, func(ctx context.Context, nodes *client.Client) error {
		d, err := nodes.Change(ctx, turn, c.UID, expect)
		if err == nil {
			fmt.Fprintf(stdio.out, "revision %d\n", d.Revision)
		}
		return err
	})
}

type listDrainCommand struct{ serverChange }

// Run drains it.
func (c listDrainCommand) Run(ctx context.Context, stdio streams) error {
	return c.apply(ctx, stdio, client.Drain)
}

type listServeCommand struct{ serverChange }

// Run ends the drain.
func (c listServeCommand) Run(ctx context.Context, stdio streams) error {
	return c.apply(ctx, stdio, client.Serve)
}

type listLeaveCommand struct{ serverChange }

// Run removes it.
func (c listLeaveCommand) Run(ctx context.Context, stdio streams) error {
	return c.apply(ctx, stdio, client.Deregister)
}
