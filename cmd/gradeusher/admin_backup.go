package main

import (
	"context"
	"fmt"
	"io"

	"gradeusher.example/gradeusher/internal/system/admin"
	"gradeusher.example/gradeusher/internal/system/admin/restore"
	"gradeusher.example/gradeusher/internal/system/controlstate"
)

type systemBackupCommand struct {
	File string `arg:"" help:"Where to; it must not be there yet."`
	From string `help:"Control address of a running keeper (IP:PORT)." required:"" xor:"source"`
	Disk string `help:"Data directory of a stopped keeper, for when no keeper answers any more. What it holds may be old, or not acknowledged." required:"" xor:"source"`
}

// Run saves the state. The file is there whole or not at all.
func (c systemBackupCommand) Run(ctx context.Context, stdio streams) error {
	state, err := c.read(ctx)
	if err != nil {
		return err
	}
	data := state.Encode()
	if err := admin.WriteBackup(c.File, data); err != nil {
		return err
	}
	fmt.Fprintf(stdio.out, "%d bytes in %s\n", len(data), c.File)
	printState(stdio.out, state)
	return nil
}

func (c systemBackupCommand) read(ctx context.Context) (*controlstate.State, error) {
	if c.Disk != "" {
		return restore.From(c.Disk)
	}
	var client admin.Client
	return client.Backup(ctx, c.From)
}

type systemRestoreCommand struct {
	File string `arg:"" help:"A file that backup wrote."`
	To   string `help:"Data directory (data_dir) of the keeper, empty. Without it the file is only checked."`
}

// Run lays the state into the directory.
func (c systemRestoreCommand) Run(stdio streams) error {
	state, err := admin.ReadBackup(c.File)
	if err != nil {
		return err
	}
	if c.To != "" {
		if err := restore.Into(c.To, state); err != nil {
			return err
		}
		fmt.Fprintf(stdio.out, "restored into %s\n", c.To)
	}
	printState(stdio.out, state)
	return nil
}

func printState(w io.Writer, s *controlstate.State) {
	fmt.Fprintf(w, "record %d, revision %d, evacuated zones: %s\n", s.Seq, s.Revision(), orNone(admin.EvacuatedZones(s)))
}
