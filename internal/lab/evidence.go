package lab

import (
	"os"
	"path/filepath"

	"gradeusher.example/gradeusher/internal/lab/check"
	"gradeusher.example/gradeusher/internal/lab/ctl"
)

// The kinds of record files, of which stand-ins write one a process and saveRecords copies all. The names are part of the report's folder.
const (
	recordsOfAttempts        = "attempts" // ctl.Attempt, by processes of servers
	recordsOfListUpdates     = "told"     // ctl.ListUpdate, by the list, or by the relay in front of registry nodes
	recordsOfRegistryUpdates = "shown"    // ctl.RegistryUpdate, by that relay
	recordsOfRouteUpdates    = "routes"   // ctl.RouteUpdate, by that relay
	recordsOfGossip          = "gossip"   // ctl.Gossip, by the network between sidecars
)

// The files of the lab's own records in the report's folder.
const (
	clientAttemptsFile = "requests.jsonl" // load.Attempt
	registryCallsFile  = "writes.jsonl"   // ctl.RegistryCall
)

// readEvidence adds to the evidence what stand-ins recorded, each of which has ended, and what the lab itself saw of processes.
func (f *Fleet) readEvidence(evidence *check.Evidence) (err error) {
	if evidence.ServerAttempts, err = readAll[ctl.Attempt](f, recordsOfAttempts, len(f.hosts)); err != nil {
		return err
	}
	if evidence.ListUpdates, err = readAll[ctl.ListUpdate](f, recordsOfListUpdates, f.listRecords()); err != nil {
		return err
	}
	if f.peers != nil {
		if evidence.Gossip, err = readAll[ctl.Gossip](f, recordsOfGossip, 1); err != nil {
			return err
		}
	}
	if f.registry != nil {
		if err := f.readRegistryEvidence(evidence); err != nil {
			return err
		}
	}
	for _, s := range f.sidecars {
		evidence.Runs = append(evidence.Runs, s.runs)
		evidence.Peaks = append(evidence.Peaks, s.peak)
	}
	evidence.Falls, evidence.Exits = f.falls, f.Exits()
	evidence.Lateness = check.Lateness(evidence.ClientAttempts)
	return nil
}

// readRegistryEvidence adds what the relay in front of registry nodes recorded, and what the registry's clients did.
func (f *Fleet) readRegistryEvidence(evidence *check.Evidence) (err error) {
	if evidence.RegistryUpdates, err = readAll[ctl.RegistryUpdate](f, recordsOfRegistryUpdates, 1); err != nil {
		return err
	}
	if evidence.RouteUpdates, err = readAll[ctl.RouteUpdate](f, recordsOfRouteUpdates, 1); err != nil {
		return err
	}
	if f.routes != nil {
		evidence.Tables = f.routes.published
	}
	evidence.RegistryCalls, evidence.NodePeaks = f.writers.records, f.registry.peaks()
	return nil
}

// listRecords is how many processes recorded updates of the list: those of the list, one after the other, or one relay.
func (f *Fleet) listRecords() int {
	if f.list != nil {
		return f.list.started
	}
	return 1
}

// readAll reads the records of a number of processes, one file after the other.
func readAll[T any](f *Fleet, kind string, processes int) ([]T, error) {
	var all []T
	for index := range processes {
		records, err := ctl.ReadRecords[T](f.records(kind, index))
		if err != nil {
			return nil, err
		}
		all = append(all, records...)
	}
	return all, nil
}

// saveRecords saves what clients and servers saw to the folder of the report, in place of what an earlier experiment left there. work is
// the folder where stand-ins wrote their records.
func saveRecords(out string, evidence *check.Evidence, work string) error {
	if err := removeRecords(out); err != nil {
		return err
	}
	if err := writeRecords(filepath.Join(out, clientAttemptsFile), evidence.ClientAttempts); err != nil {
		return err
	}
	if len(evidence.RegistryCalls) > 0 {
		if err := writeRecords(filepath.Join(out, registryCallsFile), evidence.RegistryCalls); err != nil {
			return err
		}
	}
	paths, err := filepath.Glob(filepath.Join(work, "*-*.jsonl"))
	if err != nil {
		return err
	}
	for _, path := range paths {
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

// removeRecords removes all record files from a folder.
func removeRecords(out string) error {
	patterns := []string{clientAttemptsFile, registryCallsFile}
	for _, kind := range []string{recordsOfAttempts, recordsOfListUpdates, recordsOfRegistryUpdates, recordsOfRouteUpdates, recordsOfGossip} {
		patterns = append(patterns, recordsPattern(kind))
	}
	for _, pattern := range patterns {
		paths, err := filepath.Glob(filepath.Join(out, pattern))
		if err != nil {
			return err
		}
		for _, path := range paths {
			if err := os.Remove(path); err != nil {
				return err
			}
		}
	}
	return nil
}

// recordsPattern matches the names of all record files of a kind (filepath.Glob).
func recordsPattern(kind string) string { return kind + "-*.jsonl" }

// writeRecords appends records to a file, a line each.
func writeRecords[T any](path string, all []T) error {
	records, err := ctl.NewRecords(path)
	if err != nil {
		return err
	}
	for i := range all {
		records.Add(&all[i])
	}
	return records.Close()
}
