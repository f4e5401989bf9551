package lab

import (
	"os"
	"path/filepath"

	"gradeusher.example/gradeusher/internal/lab/check"
	"gradeusher.example/gradeusher/internal/lab/ctl"
)

// gather reads what stand-ins wrote down. Each of them has ended.
func (f *Fleet) gather(e *check.Evidence) error {
	for i := range f.hosts {
		all, err := ctl.ReadRecords[ctl.Attempt](f.records("attempts", i))
		if err != nil {
			return err
		}
		e.ServerAttempts = append(e.ServerAttempts, all...)
	}
	if f.peers != nil {
		var err error
		if e.Gossip, err = ctl.ReadRecords[ctl.Gossip](f.records("gossip", 0)); err != nil {
			return err
		}
	}
	lists := 1 // the relay's
	if f.list != nil {
		lists = f.list.n
	}
	if f.keepers != nil {
		var err error
		if e.RegistryUpdates, err = ctl.ReadRecords[ctl.RegistryUpdate](f.records("shown", 0)); err != nil {
			return err
		}
		if e.RouteUpdates, err = ctl.ReadRecords[ctl.RouteUpdate](f.records("routes", 0)); err != nil {
			return err
		}
		if f.routes != nil {
			e.Tables = f.routes.put
		}
		e.RegistryCalls, e.NodePeaks = f.writers.wrote, f.keepers.peaks()
	}
	for i := range lists {
		all, err := ctl.ReadRecords[ctl.ListUpdate](f.records("told", i))
		if err != nil {
			return err
		}
		e.ListUpdates = append(e.ListUpdates, all...)
	}
	for _, s := range f.sidecars {
		e.Runs = append(e.Runs, s.runs)
		e.Peaks = append(e.Peaks, s.peak)
	}
	e.Falls, e.Exits = f.falls, f.Exits()
	e.Lateness = check.Lateness(e.ClientAttempts)
	return nil
}

// keep leaves what clients and servers saw in the report's folder.
func keep(out string, e *check.Evidence, work string) error {
	for _, pattern := range []string{"requests.jsonl", "attempts-*.jsonl", "told-*.jsonl", "shown-*.jsonl", "routes-*.jsonl", "gossip-*.jsonl", "writes.jsonl"} { // of an experiment before
		old, err := filepath.Glob(filepath.Join(out, pattern))
		if err != nil {
			return err
		}
		for _, path := range old {
			if err := os.Remove(path); err != nil {
				return err
			}
		}
	}
	if err := write(filepath.Join(out, "requests.jsonl"), e.ClientAttempts); err != nil {
		return err
	}
	if len(e.RegistryCalls) > 0 {
		if err := write(filepath.Join(out, "writes.jsonl"), e.RegistryCalls); err != nil {
			return err
		}
	}
	records, err := filepath.Glob(filepath.Join(work, "*-*.jsonl"))
	if err != nil {
		return err
	}
	for _, path := range records {
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(out, filepath.Base(path)), text, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// write writes records to a file, a line each.
func write[T any](path string, all []T) error {
	r, err := ctl.NewRecords(path)
	if err != nil {
		return err
	}
	for i := range all {
		r.Add(&all[i])
	}
	return r.Close()
}
