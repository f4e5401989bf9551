package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"gradeusher.example/gradeusher/internal/lab"
	"gradeusher.example/gradeusher/internal/lab/standin"
	"gradeusher.example/gradeusher/internal/sidecar/members"
)

// standInCommand are the processes that a lab starts. They are controlled by lines on standard input, as package ctl describes.
type standInCommand struct {
	Host  standInHostCommand    `cmd:"" help:"Stand-in servers."`
	List  standInListCommand    `cmd:"" help:"The platform's list of servers."`
	Plain standInSidecarCommand `cmd:"" help:"The plainest sidecar, to compare with."`

	Keeper   standInRegistryCommand `cmd:"" help:"A list service that agrees with nobody."`
	Relay    standInRelayCommand    `cmd:"" help:"The network in front of keepers."`
	Peers    standInPeersCommand    `cmd:"" help:"The network between sidecars."`
	Watchers standInWatchersCommand `cmd:"" help:"Clients that watch the list."`
	Liar     standInLiarCommand     `cmd:"" help:"A member among sidecars that tells of work that nobody did."`

	Janitor standInJanitorCommand `cmd:"" help:"Removes an experiment's folder when the lab is gone."`
}

type standInHostCommand struct {
	Groups  int    `help:"Groups of sidecars, each with listeners of its own." default:"1"`
	Records string `help:"File for what the servers see." required:""`

	Keepers []string      `help:"Where the servers register; none: nowhere."`
	Lease   time.Duration `help:"Of their registrations." default:"3s"`
}

// Run runs stand-in servers until standard input ends.
func (c standInHostCommand) Run(stdio streams) error {
	return standin.Host(stdio.in, stdio.out, c.Groups, c.Records, c.Keepers, c.Lease)
}

type standInRegistryCommand struct {
	Address string `help:"Where it answers." required:""`
	Flaw    string `help:"What it does wrong."`
}

// Run serves a list without a consensus protocol until SIGTERM.
func (c standInRegistryCommand) Run(ctx context.Context) error {
	return standin.PlainRegistry(ctx, c.Address, c.Flaw)
}

type standInRelayCommand struct {
	Sidecars int    `help:"Near ends that are sidecars, the first ones." required:""`
	Readers  int    `help:"Near ends that may read the list, with the sidecars." required:""`
	Told     string `help:"File for what sidecars are told." required:""`
	Shown    string `help:"File for what keepers say." required:""`
	Routes   string `help:"File for what keepers say of routes." required:""`
}

// Run relays calls to the registry until standard input ends.
func (c standInRelayCommand) Run(stdio streams) error {
	return standin.Relay(stdio.in, stdio.out, c.Sidecars, c.Readers, c.Told, c.Shown, c.Routes)
}

type standInPeersCommand struct {
	Gossip string `help:"File for what sidecars say to each other, by the second." required:""`
}

// Run relays messages between sidecars until standard input ends.
func (c standInPeersCommand) Run(stdio streams) error {
	return standin.Peers(stdio.in, stdio.out, c.Gossip)
}

type standInLiarCommand struct {
	Name      string   `help:"Of the member." required:""`
	Listen    string   `help:"IP address and port." required:""`
	Advertise string   `help:"Where others reach it." required:""`
	Reach     string   `help:"The IP address at which it reaches every other." required:""`
	Join      []string `help:"Members to join."`
}

// Run publishes false load, as the control lines ask for, until standard input ends.
func (c standInLiarCommand) Run(stdio streams) error {
	return standin.LyingMember(stdio.in, stdio.out, members.Options{Name: c.Name, Listen: c.Listen, Advertise: c.Advertise, Reach: c.Reach, Join: c.Join})
}

type standInWatchersCommand struct {
	Of []string `help:"The keepers of one client, with slashes."`
}

// Run runs clients that watch the list until standard input ends.
func (c standInWatchersCommand) Run(stdio streams) error {
	return standin.Watchers(stdio.in, stdio.out, stdio.err, c.Of)
}

type standInListCommand struct {
	Groups  string `help:"The group of each sidecar, with commas." required:""`
	Port    int    `help:"Port to listen at; 0: any that is free." default:"0"`
	Records string `help:"File for what sidecars are told." required:""`
}

// Run serves the platform's list of servers until standard input ends.
func (c standInListCommand) Run(stdio streams) error {
	groups, err := c.parseGroups()
	if err != nil {
		return err
	}
	return standin.List(stdio.in, stdio.out, groups, c.Port, c.Records)
}

func (c standInListCommand) parseGroups() (groups standin.Groups, err error) {
	for text := range strings.SplitSeq(c.Groups, ",") {
		group, err := strconv.Atoi(text)
		if err != nil {
			return nil, fmt.Errorf("%w: --groups: %w", errUsage, err)
		}
		groups = append(groups, group)
	}
	return groups, nil
}

type standInSidecarCommand struct {
	Flaw string `help:"What it does wrong."`
}

// Run is the plainest sidecar, to compare with, until SIGTERM.
func (c standInSidecarCommand) Run(ctx context.Context, stdio streams) error {
	return standin.Plain(ctx, stdio.env, c.Flaw)
}

type standInJanitorCommand struct {
	Folder string `arg:"" help:"What to remove."`
}

// Run waits until standard input ends, which is the end of the lab, and removes the folder.
func (c standInJanitorCommand) Run(stdio streams) error { return lab.Clean(stdio.in, c.Folder) }
