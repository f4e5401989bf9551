package wal_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/wal"
	"gradeusher.example/gradeusher/internal/system/wal/waltest"
)

// step is one call on a Disk.
type step struct {
	method            string
	argument, history uint64
}

func (s step) String() string { return fmt.Sprintf("%s(%d,%d)", s.method, s.argument, s.history) }

// makeEntry makes what makeEntry seq holds in the b-th history of the log.
func makeEntry(seq, b uint64) wal.Entry {
	return wal.Entry{Seq: seq, Data: []byte(fmt.Sprintf("entry %d of %d %s", seq, b, strings.Repeat("x", int(seq*7%40))))}
}

func (s step) run(d wal.Disk, last uint64) error {
	snapshot := wal.Snapshot{Seq: s.argument, Data: []byte(fmt.Sprintf("snapshot %d of %d", s.argument, s.history))}
	switch s.method {
	case "append": // a entries
		var all []wal.Entry
		for i := range s.argument {
			all = append(all, makeEntry(last+1+i, s.history))
		}
		return d.Append(all)
	case "truncate":
		return d.Truncate(s.argument)
	case "compact":
		return d.Compact(snapshot)
	case "install":
		return d.Install(snapshot)
	case "meta":
		return d.SaveMeta(fmt.Sprintf("m%d", s.argument), []byte(fmt.Sprintf("meta %d", s.history)))
	}
	return nil
}

// view is all that a disk holds, as text.
type view struct {
	log  string
	meta map[string]string
}

func loadView(d wal.Disk) (view, error) {
	meta, snapshot, entries, err := d.Load()
	if err != nil {
		return view{}, err
	}
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

// checkedLog is a Log on a simulated disk, beside a model of what it may hold: what was acknowledged, and what calls that
// failed since may have brought about.
type checkedLog struct {
	fs           *simFS
	log          *wal.Log
	model        *waltest.Mem
	possibleLogs map[string]bool            // logs
	possibleMeta map[string]map[string]bool // by name
	trace        []string
}

var nonces atomic.Uint64

func openSim(fs *simFS) (*wal.Log, error) {
	return wal.Open(simFolder, wal.Options{FS: fs, SegmentBytes: 200, MaxBytes: 1 << 20, ReserveBytes: 16, TestingKnobs: fs.knobs,
		Nonce: func() uint64 { return nonces.Add(1) }})
}

func newCheckedLog(fs *simFS) *checkedLog {
	return &checkedLog{fs: fs, model: waltest.NewMem(), possibleLogs: map[string]bool{}, possibleMeta: map[string]map[string]bool{}}
}

func (s *checkedLog) open() error {
	log, err := openSim(s.fs)
	if err == nil {
		s.log = log
		_, _, _, err = log.Load()
	}
	return err
}

// runStep runs a step on both and notes what it may have left.
func (s *checkedLog) runStep(st step) error {
	after := s.model.Clone()
	modelErr := st.run(after, s.model.LastSeq())
	err := st.run(s.log, s.model.LastSeq())
	s.trace = append(s.trace, fmt.Sprintf("%v=%v", st, err))
	if modelErr != nil {
		if err == nil {
			return errors.Newf("%v: the model refuses it: %v", st, modelErr)
		}
		return nil
	}
	if errors.Is(err, wal.ErrMisuse) {
		return errors.Newf("%v: %v, where the model takes it", st, err)
	}
	name := fmt.Sprintf("m%d", st.argument)
	switch {
	case err == nil:
		s.model = after
		if st.method == "meta" {
			delete(s.possibleMeta, name)
		} else {
			clear(s.possibleLogs)
		}
	case st.method == "meta":
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

// checkAllowed checks what a disk holds against the model.
func (s *checkedLog) checkAllowed(v view) error {
	want, _ := loadView(s.model)
	if v.log != want.log && !s.possibleLogs[v.log] {
		return errors.Newf("log %q, want %q or one of %q", v.log, want.log, slices.Sorted(maps.Keys(s.possibleLogs)))
	}
	for name := range want.meta {
		if _, ok := v.meta[name]; !ok {
			return errors.Newf("%s is gone", name)
		}
	}
	for name, got := range v.meta {
		if w, ok := want.meta[name]; (!ok || got != w) && !s.possibleMeta[name][got] {
			return errors.Newf("%s is %q, want %q", name, got, w)
		}
	}
	return nil
}

// checkRecovery opens a disk left by a crash, and checks that what it holds is allowed, lasts, and can be gone on with. nested
// tells how many losses of power inside the loading are tried at each of its calls.
func (s *checkedLog) checkRecovery(fs *simFS, nested int, r *rand.Rand) error {
	before := fs.afterKill()
	log, err := openSim(fs)
	if err != nil {
		return err
	}
	v, err := loadView(log)
	if err != nil {
		return err
	}
	if err := s.checkAllowed(v); err != nil {
		return err
	}
	loading := fs.calls
	fs.powerLosses(1, r, func(lost *simFS) {
		if err != nil {
			return
		}
		var again *wal.Log
		again, err = openSim(lost)
		var w view
		if err == nil {
			w, err = loadView(again)
		}
		if err == nil && (w.log != v.log || !maps.Equal(w.meta, v.meta)) {
			err = errors.Newf("what was loaded does not last: %v became %v", v, w)
		}
	})
	if err != nil {
		return err
	}
	if err := checkUsable(fs, log, v); err != nil {
		return err
	}
	for call := 1; call <= loading && nested > 0; call++ {
		inside := before.afterKill()
		inside.fault = func(n int, _ string) error {
			if n == call {
				return errCrash
			}
			return nil
		}
		if log, err := openSim(inside); err == nil {
			_, _, _, _ = log.Load()
		}
		inside.crashed, inside.fault = false, nil
		inside.powerLosses(nested, r, func(lost *simFS) {
			if err == nil {
				err = errors.Wrapf(s.checkRecovery(lost, 0, r), "after a crash at call %d of loading", call)
			}
		})
		if err == nil {
			err = errors.Wrapf(s.checkRecovery(inside.afterKill(), 0, r), "killed at call %d of loading", call)
		}
	}
	return err
}

// checkUsable checks that a loaded log takes changes that last.
func checkUsable(fs *simFS, log *wal.Log, v view) error {
	last := log.LastSeq()
	for i, err := range []error{
		log.Append([]wal.Entry{{Seq: last + 1, Data: []byte("new")}, {Seq: last + 2, Data: []byte("dropped")}}),
		log.Truncate(last + 1),
		log.SaveMeta("after", []byte("new")),
	} {
		if err != nil {
			return errors.Wrapf(err, "going on, step %d", i)
		}
	}
	var got view
	var err error
	fs.powerLosses(1, nil, func(lost *simFS) {
		var again *wal.Log
		if again, err = openSim(lost); err == nil {
			got, err = loadView(again)
		}
	})
	if err == nil && (got.log != fmt.Sprintf("%s|%d:new", v.log, last+1) || got.meta["after"] != "new") {
		err = errors.Newf("gone on with %v, found %v", v, got)
	}
	return err
}

func (s *checkedLog) checkCrash(most, nested int, r *rand.Rand) error {
	s.fs.crashed, s.fs.fault = false, nil
	// Only a killed process leaves anything for a loss of power inside the next loading to take.
	err := errors.Wrap(s.checkRecovery(s.fs.afterKill(), 8*nested, r), "killed")
	n := 0
	s.fs.powerLosses(most, r, func(lost *simFS) {
		if n++; n > 3 && !tryAllCases() {
			nested = 0
		}
		if err == nil {
			err = errors.Wrap(s.checkRecovery(lost, nested, r), "power lost")
		}
	})
	return err
}

// restart goes on with a disk as it was left; what it holds is what counts from then on.
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
	meta, snapshot, entries, err := log.Load()
	if err != nil {
		return err
	}
	n := newCheckedLog(fs)
	n.log, n.trace = log, append(s.trace, "restart")
	n.model = waltest.NewMemWith(meta, snapshot, entries)
	*s = *n
	return nil
}
