package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// maxWatch bounds how long a watch of the list lasts.
const maxWatch = 24 * time.Hour

// listCommands are the commands for the registry's list of servers.
type listCommands struct {
	Get      listGetCommand      `cmd:"" help:"Print the list of servers."`
	Watch    listWatchCommand    `cmd:"" help:"Print what changes, until interrupted or --for."`
	Register listRegisterCommand `cmd:"" help:"Put a server on the list."`
	Drain    listDrainCommand    `cmd:"" help:"Have a server get no new work."`
	Serve    listServeCommand    `cmd:"" help:"End a drain."`
	Leave    listLeaveCommand    `cmd:"" help:"Remove a server."`
}

func printTargets(stdio streams, targets []list.Target) {
	for i := range targets {
		target := &targets[i]
		boot := "long ago"
		if target.BootMS > 0 {
			boot = formatUnixMS(target.BootMS)
		}
		stdio.printf("%-20s %-9s %-21s az %-10s model %-10s booted %s\n", target.UID, target.State, target.Endpoint, target.Zone, target.Model, boot)
	}
}

type listGetCommand struct {
	registryFlags
	UID   string `arg:"" optional:"" help:"Only this server, with its revision."`
	Exact bool   `help:"Ask the leader: with every write that was acknowledged before."`
	JSON  bool   `help:"Print as JSON." name:"json"`
}

// Run prints the list, or one server's entry.
func (c listGetCommand) Run(ctx context.Context, stdio streams) error {
	return c.withClient(ctx, func(ctx context.Context, nodes *client.Client) error {
		if c.UID != "" {
			return c.printServer(ctx, stdio, nodes)
		}
		return c.printList(ctx, stdio, nodes)
	})
}

func (c listGetCommand) printServer(ctx context.Context, stdio streams, nodes *client.Client) error {
	entry, found, err := nodes.Server(ctx, c.UID)
	if err != nil {
		return err
	}
	if !found {
		return fmt.Errorf("no server %q", c.UID)
	}
	if c.JSON {
		return json.NewEncoder(stdio.out).Encode(entry)
	}
	stdio.printf("revision %d, lease %d ms, %s\n", entry.Revision, entry.LeaseMS, entry.Reason)
	printTargets(stdio, []list.Target{entry.Target})
	return nil
}

func (c listGetCommand) printList(ctx context.Context, stdio streams, nodes *client.Client) error {
	servers, err := nodes.List(ctx, c.Exact)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(stdio.out).Encode(servers)
	}
	stdio.printf("revision %d of %s, %d servers\n", servers.Rev, servers.Cluster, len(servers.Targets))
	printTargets(stdio, servers.Targets)
	return nil
}

type listWatchCommand struct {
	Keepers string        `help:"Addresses of keepers, with commas." env:"GRADEUSHER_KEEPERS" required:""`
	For     time.Duration `help:"How long; at most a day." default:"24h"`
	JSON    bool          `help:"Print as JSON, an object a line." name:"json"`
}

// Run prints changes. The watch goes on at another node when one is lost.
func (c listWatchCommand) Run(ctx context.Context, stdio streams) error {
	if c.For <= 0 || c.For > maxWatch {
		return fmt.Errorf("%w: --for %v is not within 1ns to 24h", errUsage, c.For)
	}
	lines := json.NewEncoder(stdio.out)
	printUpdate := func(update client.ListUpdate) {
		if c.JSON {
			_ = lines.Encode(update) // to a reader that has gone
			return
		}
		printTargets(stdio, update.Targets)
	}
	subscriber, err := client.NewListSubscriber(client.ListOptions{Registry: strings.Split(c.Keepers, ","), ShrinkLimits: client.DefaultShrinkLimits,
		Log: slog.New(slog.NewTextHandler(stdio.err, nil)), OnUpdate: printUpdate})
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.For)
	defer cancel()
	subscriber.Run(ctx)
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

// Run registers the server; with --hold it renews the registration until interrupted.
func (c listRegisterCommand) Run(ctx context.Context, stdio streams) error {
	if c.Hold && c.Lease == 0 {
		return fmt.Errorf("%w: --hold needs --lease", errUsage)
	}
	registration := c.registration()
	err := c.withClient(ctx, func(ctx context.Context, nodes *client.Client) error {
		done, err := nodes.Register(ctx, []list.Registration{registration}, c.Expect)
		if err == nil {
			stdio.printf("revision %d\n", done.Revision)
		}
		return err
	})
	if err != nil || !c.Hold {
		return err
	}
	return c.keepRegistered(ctx, registration)
}

func (c listRegisterCommand) registration() list.Registration {
	return list.Registration{Target: list.Target{UID: c.UID, Endpoint: c.Endpoint, Zone: c.Zone, Model: c.Model, PodGroup: c.PodGroup,
		State: list.Serving, Capacity: &c.Capacity, BootMS: c.BootMS}, LeaseMS: c.Lease.Milliseconds()}
}

// keepRegistered renews a registration until ctx is done, and removes it then.
func (c listRegisterCommand) keepRegistered(ctx context.Context, registration list.Registration) error {
	nodes, err := client.New(strings.Split(c.Keepers, ","))
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	defer nodes.Close()
	nodes.KeepRegistered(ctx, registration)
	leave, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.Within)
	defer cancel()
	_, err = nodes.Change(leave, client.Deregister, registration.UID, nil)
	return err
}

// serverChange is a change to one server.
type serverChange struct {
	registryFlags
	UID    string `arg:"" help:"Id of the server."`
	Expect string `help:"Only if its entry is at this revision."`
}

func (c serverChange) apply(ctx context.Context, stdio streams, action client.Action) error {
	expect, err := c.expectedRevision()
	if err != nil {
		return err
	}
	return c.withClient(ctx, func(ctx context.Context, nodes *client.Client) error {
		done, err := nodes.Change(ctx, action, c.UID, expect)
		if err == nil {
			stdio.printf("revision %d\n", done.Revision)
		}
		return err
	})
}

// expectedRevision returns the revision that the entry has to be at; nil: any.
func (c serverChange) expectedRevision() (*int64, error) {
	if c.Expect == "" {
		return nil, nil
	}
	revision, err := strconv.ParseInt(c.Expect, 10, 64)
	if err != nil {
		return nil, fmt.Errorf("%w: --expect: %q is no revision", errUsage, c.Expect)
	}
	return &revision, nil
}

type listDrainCommand struct{ serverChange }

// Run drains the server.
func (c listDrainCommand) Run(ctx context.Context, stdio streams) error {
	return c.apply(ctx, stdio, client.Drain)
}

type listServeCommand struct{ serverChange }

// Run ends the drain.
func (c listServeCommand) Run(ctx context.Context, stdio streams) error {
	return c.apply(ctx, stdio, client.Serve)
}

type listLeaveCommand struct{ serverChange }

// Run removes the server.
func (c listLeaveCommand) Run(ctx context.Context, stdio streams) error {
	return c.apply(ctx, stdio, client.Deregister)
}
