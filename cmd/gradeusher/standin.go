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

// standInCommand is the processes that a lab starts. Its orders come on standard input.
type standInCommand struct {
	Host  hostCommand  `cmd:"" help:"Stand-in servers."`
	List  listCommand  `cmd:"" help:"The platform's list of servers."`
	Plain plainCommand `cmd:"" help:"The plainest sidecar, to compare with."`

	Keeper   plainKeeperCommand `cmd:"" help:"A list service that agrees with nobody."`
	Relay    relayCommand       `cmd:"" help:"The network in front of keepers."`
	Peers    peersCommand       `cmd:"" help:"The network between sidecars."`
	Watchers watchersCommand    `cmd:"" help:"Clients that watch the list."`
	Liar     liarCommand        `cmd:"" help:"A member among sidecars that tells of work that nobody did."`

	Janitor janitorCommand `cmd:"" help:"Removes an experiment's folder when the lab is gone."`
}

type hostCommand struct {
	Groups  int    `help:"Groups of sidecars, each with listeners of its own." default:"1"`
	Records string `help:"File for what the servers see." required:""`

	Keepers []string      `help:"Where the servers register; none: nowhere."`
	Lease   time.Duration `help:"Of their registrations." default:"3s"`
}

// Run obeys until standard input ends.
func (c hostCommand) Run(s streams) error {
	return standin.Host(s.in, s.out, c.Groups, c.Records, c.Keepers, c.Lease)
}

type plainKeeperCommand struct {
	Address string `help:"Where it answers." required:""`
	Flaw    string `help:"What it does wrong."`
}

// Run is the list service until SIGTERM.
func (c plainKeeperCommand) Run(ctx context.Context) error {
	return standin.PlainRegistry(ctx, c.Address, c.Flaw)
}

type relayCommand struct {
	Sidecars int    `help:"Near ends that are sidecars, the first ones." required:""`
	Readers  int    `help:"Near ends that may read the list, with the sidecars." required:""`
	Told     string `help:"File for what sidecars are told." required:""`
	Shown    string `help:"File for what keepers say." required:""`
	Routes   string `help:"File for what keepers say of routes." required:""`
}

// Run obeys until standard input ends.
func (c relayCommand) Run(s streams) error {
	return standin.Relay(s.in, s.out, c.Sidecars, c.Readers, c.Told, c.Shown, c.Routes)
}

type peersCommand struct {
	Gossip string `help:"File for what sidecars say to each other, by the second." required:""`
}

// Run obeys until standard input ends.
func (c peersCommand) Run(s streams) error { return standin.Peers(s.in, s.out, c.Gossip) }

type liarCommand struct {
	Name      string   `help:"Of the member." required:""`
	Listen    string   `help:"IP address and port." required:""`
	Advertise string   `help:"Where others reach it." required:""`
	Reach     string   `help:"The IP address at which it reaches every other." required:""`
	Join      []string `help:"Members to join."`
}

// Run lies as it is told to until standard input ends.
func (c liarCommand) Run(s streams) error {
	return standin.LyingMember(s.in, s.out, members.Options{Name: c.Name, Listen: c.Listen, Advertise: c.Advertise, Reach: c.Reach, Join: c.Join})
}

type watchersCommand struct {
	Of []string `help:"The keepers of one client, with slashes."`
}

// Run watches until standard input ends.
func (c watchersCommand) Run(s streams) error { return standin.Watchers(s.in, s.out, s.err, c.Of) }

type listCommand struct {
	Groups  string `help:"The group of each sidecar, with commas." required:""`
	Port    int    `help:"Port to listen at; 0: any that is free." default:"0"`
	Records string `help:"File for what sidecars are told." required:""`
}

// Run obeys until standard input ends.
func (c listCommand) Run(s streams) error {
	var groups standin.Groups
	for _, word := range strings.Split(c.Groups, ",") {
		g, err := strconv.Atoi(word)
		if err != nil {
			return fmt.Errorf("%w: --groups: %w", errUsage, err)
		}
		groups = append(groups, g)
	}
	return standin.List(s.in, s.out, groups, c.Port, c.Records)
}

type plainCommand struct {
	Flaw string `help:"What it does wrong."`
}

// Run is the sidecar until SIGTERM.
func (c plainCommand) Run(ctx context.Context, s streams) error {
	return standin.Plain(ctx, s.env, c.Flaw)
}

type janitorCommand struct {
	Folder string `arg:"" help:"What to remove."`
}

// Run waits until standard input ends, and cleans up.
func (c janitorCommand) Run(s streams) error { return lab.Clean(s.in, c.Folder) }
