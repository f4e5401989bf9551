package wal_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/wal"
	"gradeusher.example/gradeusher/internal/system/wal/waltest"
)

// diskMethod identifies a method of wal.Disk that makes a change.
type diskMethod string

const (
	appendEntries   diskMethod = "append"   // argument: number of entries
	truncateLog     diskMethod = "truncate" // argument: sequence number
	compactLog      diskMethod = "compact"  // argument: sequence number of the snapshot
	installSnapshot diskMethod = "install"  // argument: sequence number of the snapshot
	saveMeta        diskMethod = "meta"     // argument: number in the name
)

// step is one call on a wal.Disk. Calls of different histories write different data.
type step struct {
	method            diskMethod
	argument, history uint64
}

func (s step) String() string { return fmt.Sprintf("%s(%d,%d)", s.method, s.argument, s.history) }

// makeEntry returns the entry with sequence number seq in the given history; entries of different histories differ.
func makeEntry(seq, history uint64) wal.Entry {
	return wal.Entry{Seq: seq, Data: []byte(fmt.Sprintf("entry %d of %d %s", seq, history, strings.Repeat("x", int(seq*7%40))))}
}

// run makes the call on disk; last is the newest sequence number in disk.
func (s step) run(disk wal.Disk, last uint64) error {
	snapshot := wal.Snapshot{Seq: s.argument, Data: []byte(fmt.Sprintf("snapshot %d of %d", s.argument, s.history))}
	switch s.method {
	case appendEntries:
		var all []wal.Entry
		for i := range s.argument {
			all = append(all, makeEntry(last+1+i, s.history))
		}
		return disk.Append(all)
	case truncateLog:
		return disk.Truncate(s.argument)
	case compactLog:
		return disk.Compact(snapshot)
	case installSnapshot:
		return disk.Install(snapshot)
	case saveMeta:
		return disk.SaveMeta(fmt.Sprintf("m%d", s.argument), []byte(fmt.Sprintf("meta %d", s.history)))
	}
	return nil
}

// view is the content of a disk, as text.
type view struct {
	log  string
	meta map[string]string
}

func (v view) equal(other view) bool { return v.log == other.log && maps.Equal(v.meta, other.meta) }

// loadView loads a disk and returns its content.
func loadView(d wal.Disk) (view, error) {
	stored, err := d.Load()
	if err != nil {
		return view{}, err
	}
	meta, snapshot, entries := stored.Meta, stored.Snapshot, stored.Entries
	var b strings.Builder
	fmt.Fprintf(&b, "%d:%s", snapshot.Seq, snapshot.Data)
	for _, e := range entries {
		fmt.Fprintf(&b, "|%d:%s", e.Seq, e.Data)
	}
	v := view{log: b.String(), meta: map[string]string{}}
	for name, data := range meta {
		v.meta[name] = string(data)
	}
	return v, nil
}

// checkedLog is a Log on a simulated disk with a model of its possible contents: the acknowledged changes, and the changes that calls
// that failed since may have made.
type checkedLog struct {
	fs           *simFS
	log          *wal.Log
	model        *waltest.Mem
	possibleLogs map[string]bool            // logs that failed calls may have left
	possibleMeta map[string]map[string]bool // metadata that failed calls may have left, by name
	trace        []string
}

var nonces atomic.Uint64

// openSim opens the log on a simulated disk, with small segments.
func openSim(fs *simFS) (*wal.Log, error) {
	options := wal.Options{FS: fs, SegmentBytes: 200, MaxBytes: 1 << 20, ReserveBytes: 16, Nonce: func() uint64 { return nonces.Add(1) }}
	return wal.Open(simFolder, options.WithKnobs(fs.knobs))
}

// openLoaded opens a log and loads it.
func openLoaded(t *testing.T, folder string, options wal.Options) *wal.Log {
	t.Helper()
	log, err := wal.Open(folder, options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = log.Close() })
	if _, err := log.Load(); err != nil {
		t.Fatal(err)
	}
	return log
}

func newCheckedLog(fs *simFS) *checkedLog {
	return &checkedLog{fs: fs, model: waltest.NewMem(), possibleLogs: map[string]bool{}, possibleMeta: map[string]map[string]bool{}}
}

func (s *checkedLog) open() error {
	log, err := openSim(s.fs)
	if err == nil {
		s.log = log
		_, err = log.Load()
	}
	return err
}

// runStep runs a step on log and model. If the step fails, it records the state that the step may have left.
func (s *checkedLog) runStep(next step) error {
	after := s.model.Clone()
	modelErr := next.run(after, s.model.LastSeq())
	err := next.run(s.log, s.model.LastSeq())
	s.trace = append(s.trace, fmt.Sprintf("%v=%v", next, err))
	if modelErr != nil {
		if err == nil {
			return errors.Newf("%v succeeded, but the model rejects it: %v", next, modelErr)
		}
		return nil
	}
	if errors.Is(err, wal.ErrMisuse) {
		return errors.Newf("%v: %v, but the model accepts it", next, err)
	}
	name := fmt.Sprintf("m%d", next.argument)
	switch {
	case err == nil:
		s.model = after
		if next.method == saveMeta {
			delete(s.possibleMeta, name)
		} else {
			clear(s.possibleLogs)
		}
	case next.method == saveMeta:
		if s.possibleMeta[name] == nil {
			s.possibleMeta[name] = map[string]bool{}
		}
		s.possibleMeta[name][string(after.Meta(name))] = true
	default:
		v, _ := loadView(after)
		s.possibleLogs[v.log] = true
	}
	return nil
}

// checkAllowed checks that the content of a disk is one that the model allows.
func (s *checkedLog) checkAllowed(v view) error {
	want, _ := loadView(s.model)
	if v.log != want.log && !s.possibleLogs[v.log] {
		return errors.Newf("log %q, want %q or one of %q", v.log, want.log, slices.Sorted(maps.Keys(s.possibleLogs)))
	}
	for name := range want.meta {
		if _, ok := v.meta[name]; !ok {
			return errors.Newf("metadata %s is missing", name)
		}
	}
	for name, got := range v.meta {
		if w, ok := want.meta[name]; (!ok || got != w) && !s.possibleMeta[name][got] {
			return errors.Newf("metadata %s is %q, want %q", name, got, w)
		}
	}
	return nil
}

// checkRecovery opens a disk after a crash, and checks that its content is allowed and durable and that the log accepts further
// changes. nested is the number of power losses that are tried at each call during loading.
func (s *checkedLog) checkRecovery(fs *simFS, nested int, r *rand.Rand) error {
	before := fs.afterKill()
	log, err := openSim(fs)
	if err != nil {
		return err
	}
	loaded, err := loadView(log)
	if err != nil {
		return err
	}
	if err := s.checkAllowed(loaded); err != nil {
		return err
	}
	callsOfLoading := fs.calls
	if err := checkDurable(fs, loaded, r); err != nil {
		return err
	}
	if err := checkUsable(fs, log, loaded); err != nil {
		return err
	}
	if nested == 0 {
		return nil
	}
	for call := 1; call <= callsOfLoading; call++ {
		if err := s.checkCrashInLoading(before.afterKill(), call, nested, r); err != nil {
			return err
		}
	}
	return nil
}

// checkDurable checks that the loaded content survives a power loss.
func checkDurable(fs *simFS, loaded view, r *rand.Rand) error {
	var err error
	fs.visitPowerLosses(1, r, func(lost *simFS) {
		if err != nil {
			return
		}
		var again *wal.Log
		again, err = openSim(lost)
		var found view
		if err == nil {
			found, err = loadView(again)
		}
		if err == nil && !found.equal(loaded) {
			err = errors.Newf("the loaded content is not durable: %v became %v", loaded, found)
		}
	})
	return err
}

// checkCrashInLoading loads the log of fs with a crash at the given call, and checks the recovery after a kill and after power losses
// at that call, at most nested of them.
func (s *checkedLog) checkCrashInLoading(fs *simFS, call, nested int, r *rand.Rand) error {
	crashInLoading(fs, call)
	var err error
	fs.visitPowerLosses(nested, r, func(lost *simFS) {
		if err == nil {
			err = errors.Wrapf(s.checkRecovery(lost, 0, r), "after a crash at call %d of loading", call)
		}
	})
	if err == nil {
		err = errors.Wrapf(s.checkRecovery(fs.afterKill(), 0, r), "killed at call %d of loading", call)
	}
	return err
}

// crashInLoading loads the log of fs with a crash at the given call, and reports whether that call was reached.
func crashInLoading(fs *simFS, call int) (reached bool) {
	fs.fault = crashAt(call)
	if log, err := openSim(fs); err == nil {
		_, _ = log.Load()
	}
	reached = fs.crashed
	fs.crashed, fs.fault = false, nil
	return reached
}

// checkUsable checks that a loaded log accepts changes, and that they are durable.
func checkUsable(fs *simFS, log *wal.Log, loaded view) error {
	last := log.LastSeq()
	for i, err := range []error{
		log.Append([]wal.Entry{{Seq: last + 1, Data: []byte("new")}, {Seq: last + 2, Data: []byte("dropped")}}),
		log.Truncate(last + 1),
		log.SaveMeta("after", []byte("new")),
	} {
		if err != nil {
			return errors.Wrapf(err, "change %d after loading", i)
		}
	}
	var got view
	var err error
	fs.visitPowerLosses(1, nil, func(lost *simFS) {
		var again *wal.Log
		if again, err = openSim(lost); err == nil {
			got, err = loadView(again)
		}
	})
	if err == nil && (got.log != fmt.Sprintf("%s|%d:new", loaded.log, last+1) || got.meta["after"] != "new") {
		err = errors.Newf("content after further changes to %v: %v", loaded, got)
	}
	return err
}

// checkCrash checks the recovery after a kill, and after at most bound power losses.
func (s *checkedLog) checkCrash(bound, nested int, r *rand.Rand) error {
	s.fs.crashed, s.fs.fault = false, nil
	// Only a killed process leaves unsynced data that a power loss during the next loading can destroy.
	err := errors.Wrap(s.checkRecovery(s.fs.afterKill(), 8*nested, r), "killed")
	n := 0
	s.fs.visitPowerLosses(bound, r, func(lost *simFS) {
		if n++; n > 3 && !tryAllCases() {
			nested = 0
		}
		if err == nil {
			err = errors.Wrap(s.checkRecovery(lost, nested, r), "power lost")
		}
	})
	return err
}

// restart opens a disk after a crash or kill, checks its content, and resets the model to that content.
func (s *checkedLog) restart(fs *simFS) error {
	log, err := openSim(fs)
	if err != nil {
		return err
	}
	v, err := loadView(log)
	if err == nil {
		err = s.checkAllowed(v)
	}
	if err != nil {
		return errors.Wrap(err, "restart")
	}
	stored, err := log.Load()
	if err != nil {
		return err
	}
	n := newCheckedLog(fs)
	n.log, n.trace = log, append(slices.Clone(s.trace), "restart")
	n.model = waltest.NewMemWith(stored)
	*s = *n
	return nil
}
