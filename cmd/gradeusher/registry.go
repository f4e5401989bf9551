package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/registry"
	"gradeusher.example/gradeusher/internal/sidecar/sealed"
)

// registryCommand are the commands for nodes of the registry, which operators know as keepers.
type registryCommand struct {
	Run     registryRunCommand     `cmd:"" default:"withargs" help:"Be a keeper, configured by a TOML file. Exit 2: it makes no sense."`
	Backup  registryBackupCommand  `cmd:"" help:"Save the state of the keepers to a file."`
	Restore registryRestoreCommand `cmd:"" help:"Replace the state of all keepers by that of a backup."`
	Remove  registryRemoveCommand  `cmd:"" help:"Take a keeper out of the cluster."`
}

// registryFlags name the registry nodes that a command calls.
type registryFlags struct {
	Keepers string        `help:"Addresses of keepers, with commas." env:"GRADEUSHER_KEEPERS" required:""`
	Within  time.Duration `help:"How long to go on asking." default:"15s"`
}

// withClient calls do with a client of the registry and a context that ends after Within.
func (f registryFlags) withClient(ctx context.Context, do func(context.Context, *client.Client) error) error {
	nodes, err := client.New(strings.Split(f.Keepers, ","))
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	defer nodes.Close()
	ctx, cancel := context.WithTimeout(ctx, f.Within)
	defer cancel()
	return do(ctx, nodes)
}

type registryRunCommand struct {
	Config string `arg:"" help:"TOML file."`
	Log    string `help:"Form of the log." enum:"text,json" default:"text"`
	Level  string `help:"Least level of the log." enum:"debug,info,warn,error" default:"info"`
}

// Run is the registry node until SIGTERM or until it is removed from the cluster.
func (c registryRunCommand) Run(ctx context.Context, stdio streams) error {
	config, err := registry.LoadConfig(c.Config)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	log, err := c.newLog(stdio.err)
	if err != nil {
		return err
	}
	signal.Ignore(syscall.SIGXFSZ) // a file that may not grow is a failed write, not the end of the process
	return registry.Run(ctx, config, log, nil)
}

func (c registryRunCommand) newLog(w io.Writer) (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.Level)); err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	options := &slog.HandlerOptions{Level: level}
	if c.Log == "json" {
		return slog.New(slog.NewJSONHandler(w, options)), nil
	}
	return slog.New(slog.NewTextHandler(w, options)), nil
}

type registryBackupCommand struct {
	registryFlags
	File string `arg:"" help:"Where to."`
	Any  bool   `help:"Take what any keeper has, which may be old: for when no majority is left."`
}

// Run saves the state. The file is complete or not there.
func (c registryBackupCommand) Run(ctx context.Context, stdio streams) error {
	return c.withClient(ctx, func(ctx context.Context, nodes *client.Client) error {
		backup, err := nodes.Backup(ctx, !c.Any)
		if err != nil {
			return err
		}
		if err := sealed.WriteFile(c.File, backup); err != nil {
			return err
		}
		stdio.printf("%d bytes in %s\n", len(backup), c.File)
		return nil
	})
}

type registryRestoreCommand struct {
	registryFlags
	File string `arg:"" help:"A file that backup wrote."`
}

// Run replaces the state of all nodes by that of the file.
func (c registryRestoreCommand) Run(ctx context.Context, stdio streams) error {
	backup, err := os.ReadFile(c.File)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	return c.withClient(ctx, func(ctx context.Context, nodes *client.Client) error {
		done, err := nodes.Restore(ctx, backup)
		if err != nil {
			return err
		}
		stdio.printf("restored, at revision %d\n", done.Revision)
		return nil
	})
}

type registryRemoveCommand struct {
	registryFlags
	Name string `arg:"" help:"The keeper's name."`
}

// Run removes the node from the cluster; the node's process ends by itself.
func (c registryRemoveCommand) Run(ctx context.Context) error {
	return c.withClient(ctx, func(ctx context.Context, nodes *client.Client) error { return nodes.RemoveNode(ctx, c.Name) })
}
