package main

import (
	"context"

	"gradeusher.example/gradeusher/internal/system/admin"
	"gradeusher.example/gradeusher/internal/system/admin/restore"
	"gradeusher.example/gradeusher/internal/system/controlstate"
)

type systemBackupCommand struct {
	File string `arg:"" help:"Where to; it must not be there yet."`
	From string `help:"Control address of a running keeper (IP:PORT)." required:"" xor:"source"`
	Disk string `help:"Data directory of a stopped keeper, for when no keeper answers any more. What it holds may be old, or not acknowledged." required:"" xor:"source"`
}

// Run saves the state. The file is complete or not there.
func (c systemBackupCommand) Run(ctx context.Context, stdio streams) error {
	state, err := c.read(ctx)
	if err != nil {
		return err
	}
	data := state.Encode()
	if err := admin.WriteBackup(c.File, data); err != nil {
		return err
	}
	stdio.printf("%d bytes in %s\n", len(data), c.File)
	printState(stdio, state)
	return nil
}

// read returns the state of a running node or of a stopped one's disk.
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

// Run checks the backup and, with --to, writes its state into the directory.
func (c systemRestoreCommand) Run(stdio streams) error {
	state, err := admin.ReadBackup(c.File)
	if err != nil {
		return err
	}
	if c.To != "" {
		if err := restore.Into(c.To, state); err != nil {
			return err
		}
		stdio.printf("restored into %s\n", c.To)
	}
	printState(stdio, state)
	return nil
}

func printState(stdio streams, state *controlstate.State) {
	stdio.printf("record %d, revision %d, evacuated zones: %s\n", state.Seq, state.Revision(), orNone(admin.EvacuatedZones(state)))
}
