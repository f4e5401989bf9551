package lab

import (
	"os"
	"path/filepath"

	"gradeusher.example/gradeusher/internal/lab/check"
	"gradeusher.example/gradeusher/internal/lab/ctl"
)

// readEvidence reads what stand-ins recorded, each of which has ended.
func (f *Fleet) readEvidence(evidence *check.Evidence) error {
	for i := range f.hosts {
		all, err := ctl.ReadRecords[ctl.Attempt](f.records("attempts", i))
		if err != nil {
			return err
		}
		evidence.ServerAttempts = append(evidence.ServerAttempts, all...)
	}
	if f.peers != nil {
		var err error
		if evidence.Gossip, err = ctl.ReadRecords[ctl.Gossip](f.records("gossip", 0)); err != nil {
			return err
		}
	}
	lists := 1 // the relay's
	if f.list != nil {
		lists = f.list.started
	}
	if f.registry != nil {
		var err error
		if evidence.RegistryUpdates, err = ctl.ReadRecords[ctl.RegistryUpdate](f.records("shown", 0)); err != nil {
			return err
		}
		if evidence.RouteUpdates, err = ctl.ReadRecords[ctl.RouteUpdate](f.records("routes", 0)); err != nil {
			return err
		}
		if f.routes != nil {
			evidence.Tables = f.routes.published
		}
		evidence.RegistryCalls, evidence.NodePeaks = f.writers.records, f.registry.peaks()
	}
	for i := range lists {
		all, err := ctl.ReadRecords[ctl.ListUpdate](f.records("told", i))
		if err != nil {
			return err
		}
		evidence.ListUpdates = append(evidence.ListUpdates, all...)
	}
	for _, s := range f.sidecars {
		evidence.Runs = append(evidence.Runs, s.runs)
		evidence.Peaks = append(evidence.Peaks, s.peak)
	}
	evidence.Falls, evidence.Exits = f.falls, f.Exits()
	evidence.Lateness = check.Lateness(evidence.ClientAttempts)
	return nil
}

// saveRecords saves what clients and servers saw to the report's folder.
func saveRecords(out string, evidence *check.Evidence, work string) error {
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
	if err := writeRecords(filepath.Join(out, "requests.jsonl"), evidence.ClientAttempts); err != nil {
		return err
	}
	if len(evidence.RegistryCalls) > 0 {
		if err := writeRecords(filepath.Join(out, "writes.jsonl"), evidence.RegistryCalls); err != nil {
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

// writeRecords writes records to a file, a line each.
func writeRecords[T any](path string, all []T) error {
	r, err := ctl.NewRecords(path)
	if err != nil {
		return err
	}
	for i := range all {
		r.Add(&all[i])
	}
	return r.Close()
}
