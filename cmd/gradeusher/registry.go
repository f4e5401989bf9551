package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/registry"
	"gradeusher.example/gradeusher/internal/sidecar/sealed"
)

type registryCommand struct {
	Run     registryRunCommand     `cmd:"" default:"withargs" help:"Be a keeper, configured by a TOML file. Exit 2: it makes no sense."`
	Backup  registryBackupCommand  `cmd:"" help:"Save the state of the keepers to a file."`
	Restore registryRestoreCommand `cmd:"" help:"Replace the state of all keepers by that of a backup."`
	Remove  registryRemoveCommand  `cmd:"" help:"Take a keeper out of the cluster."`
}

// registryFlags names the keepers that a command talks to.
type registryFlags struct {
	Keepers string        `help:"Addresses of keepers, with commas." env:"GRADEUSHER_KEEPERS" required:""`
	Within  time.Duration `help:"How long to go on asking." default:"15s"`
}

// withClient makes a client and a context that ends in time.
func (f registryFlags) withClient(ctx context.Context, do func(context.Context, *client.Client) error) error {
	c, err := client.New(strings.Split(f.Keepers, ","))
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(ctx, f.Within)
	defer cancel()
	return do(ctx, c)
}

type registryRunCommand struct {
	Config string `arg:"" help:"TOML file."`
	Log    string `help:"Form of the log." enum:"text,json" default:"text"`
	Level  string `help:"Least level of the log." enum:"debug,info,warn,error" default:"info"`
}

// Run is the keeper until it is told to end.
func (c registryRunCommand) Run(ctx context.Context, stdio streams) error {
	config, err := registry.LoadConfig(c.Config)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.Level)); err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	o := &slog.HandlerOptions{Level: level}
	var handler slog.Handler = slog.NewTextHandler(stdio.err, o)
	if c.Log == "json" {
		handler = slog.NewJSONHandler(stdio.err, o)
	}
	signal.Ignore(syscall.SIGXFSZ) // a file that may not grow is a failed write, not the end of the process
	return registry.Run(ctx, config, slog.New(handler), nil)
}

type registryBackupCommand struct {
	registryFlags
	File string `arg:"" help:"Where to."`
	Any  bool   `help:"Take what any keeper has, which may be old: for when no majority is left."`
}

// Run saves it. The file is there whole or not at all.
func (c registryBackupCommand) Run(ctx context.Context, stdio streams) error {
	return c.withClient(ctx, func(ctx context.Context, nodes *client.Client) error {
		text, err := nodes.Backup(ctx, !c.Any)
		if err != nil {
			return err
		}
		if err := sealed.WriteFile(c.File, text); err != nil {
			return err
		}
		fmt.Fprintf(stdio.out, "%d bytes in %s\n", len(text), c.File)
		return nil
	})
}

type registryRestoreCommand struct {
	registryFlags
	File string `arg:"" help:"A file that backup wrote."`
}

// Run restores it.
func (c registryRestoreCommand) Run(ctx context.Context, stdio streams) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	return c.withClient(ctx, func(ctx context.Context, nodes *client.Client) error {
		d, err := nodes.Restore(ctx, text)
		if err != nil {
			return err
		}
		fmt.Fprintf(stdio.out, "restored, at revision %d\n", d.Revision)
		return nil
	})
}

type registryRemoveCommand struct {
	registryFlags
	Name string `arg:"" help:"The keeper's name."`
}

// Run removes it.
func (c registryRemoveCommand) Run(ctx context.Context, stdio streams) error {
	return c.withClient(ctx, func(ctx context.Context, nodes *client.Client) error { return nodes.RemoveNode(ctx, c.Name) })
}

type registryStatusCommand struct {
	registryFlags
	JSON bool `help:"Print as JSON." name:"json"`
}

// Run prints a line a keeper. It fails where no keeper leads.
func (c registryStatusCommand) Run(ctx context.Context, stdio streams) error {
	return c.withClient(ctx, func(ctx context.Context, k *client.Client) error {
		all, failed := client.Status[registry.Status](ctx, k)
		leads := false
		for _, v := range all {
			leads = leads || v.Role == "leader"
		}
		if c.JSON {
			errs := map[string]string{}
			for k, err := range failed {
				errs[k] = err.Error()
			}
			if err := json.NewEncoder(stdio.out).Encode(map[string]any{"keepers": all, "failed": errs}); err != nil {
				return err
			}
		} else {
			for _, address := range slices.Sorted(slices.Values(k.Addresses())) {
				v, ok := all[address]
				if !ok {
					fmt.Fprintf(stdio.out, "%-21s no answer: %s\n", address, strings.ReplaceAll(failed[address].Error(), "\n", "; "))
					continue
				}
				age := fmt.Sprintf("%d ms", v.AgeMS)
				if v.AgeMS < 0 {
					age = "unknown"
				}
				fmt.Fprintf(stdio.out, "%-21s %-10s %-9s leader %-10s term %-4d revision %-8d age %-9s watchers %-5d servers %-5d leases %d, %d held back\n", address, v.Name,
					v.Role, cmp.Or(v.Leader, "none"), v.Term, v.Revision, age, v.Watchers, v.Servers, v.Leases, v.PendingLeases)
			}
		}
		if !leads {
			return errors.New("no keeper leads")
		}
		return nil
	})
}
