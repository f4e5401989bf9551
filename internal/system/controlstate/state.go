package controlstate

import (
	"fmt"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/config"
)

// State is the control state after the record numbered Seq. It is immutable: Apply returns a new State. It may be shared between
// goroutines.
type State struct {
	Seq       uint64
	Config    *config.Config  // nil: no configuration has been applied yet
	Evacuated map[string]bool // by zone

	history     changeHistory // applied configuration changes
	zoneChanges zoneChanges   // when each zone was last changed
	lastChecked atomic.Pointer[checkedChange]
}

// checkedChange caches the configuration of the change that Check accepted last, so that Apply need not parse it again.
type checkedChange struct {
	digest digest
	config *config.Config
}

// Empty returns the state before the first record.
func Empty() *State { return &State{Evacuated: map[string]bool{}} }

// Revision returns the current revision of the configuration, or 0 if there is no configuration.
func (s *State) Revision() int64 {
	if s.Config == nil {
		return 0
	}
	return s.Config.Revision
}

// Check returns the verdict on applying a change to this state. It does not change the state.
func (s *State) Check(change Change) Verdict {
	switch change.Op {
	case OpReplace, OpAmend:
		return s.checkConfig(change)
	case OpEvacuate, OpReadmit:
		return s.checkZone(change)
	case OpNone:
		return Verdict{Kind: Accepted, Seq: s.Seq + 1}
	}
	return Verdict{Kind: Invalid, Reason: "unknown operation: send one of this version"}
}

func (s *State) checkConfig(change Change) Verdict {
	sum, dependsOnSeq := change.digest(), uint64(0)
	if s.Config != nil {
		dependsOnSeq = s.history.lastSeq(s.Seq)
	}
	if change.Base != s.Revision() {
		return s.checkOnOtherRevision(change, sum, dependsOnSeq)
	}
	// No change has been applied on the current revision, so this change cannot have been applied before.
	candidate, err := s.nextConfig(change, config.Parse, config.Amend)
	if err != nil {
		return Verdict{Kind: Invalid, Seq: dependsOnSeq, Reason: err.Error()}
	}
	s.lastChecked.Store(&checkedChange{digest: sum, config: candidate})
	return Verdict{Kind: Accepted, Seq: s.Seq + 1}
}

// nextConfig returns the configuration that results from applying change to the current one. The caller passes the functions of
// package config to use: Parse and Amend for a new change, ParseAccepted and AmendAccepted for a record. Errors are
// config.ErrInvalid.
func (s *State) nextConfig(change Change, parse func([]byte) (*config.Config, error),
	amend func(*config.Config, []byte) (*config.Config, error)) (*config.Config, error) {
	if change.Op == OpAmend {
		return amend(s.Config, change.Body)
	}
	candidate, err := parse(change.Body)
	if err != nil {
		return nil, err
	}
	if candidate.Revision <= s.Revision() {
		return nil, &config.InvalidError{Reason: fmt.Sprintf("revision %d is not above the current %d: send a higher one",
			candidate.Revision, s.Revision())}
	}
	return candidate, nil
}

// Apply returns the state after record, which must be numbered Seq+1 and have been accepted by Check on this state. Errors are
// ErrOutOfOrder or ErrRefused. The result may share record.Body, which must not be changed afterwards.
func (s *State) Apply(record Record) (*State, error) {
	if record.Seq != s.Seq+1 {
		return nil, errors.Mark(errors.Newf("record %d follows %d: send record %d", record.Seq, s.Seq, s.Seq+1), ErrOutOfOrder)
	}
	next := &State{Seq: record.Seq, Config: s.Config, Evacuated: s.Evacuated, history: s.history, zoneChanges: s.zoneChanges}
	var err error
	switch record.Op {
	case OpReplace, OpAmend:
		err = s.applyConfig(next, record)
	case OpEvacuate, OpReadmit:
		err = s.applyZone(next, record)
	case OpNone:
	default:
		err = refusedError(record, "its operation is unknown here: run a newer version")
	}
	if err != nil {
		return nil, err
	}
	return next, nil
}

// applyConfig applies the record of a configuration change to next, which shares its unchanged parts with s.
func (s *State) applyConfig(next *State, record Record) error {
	change := record.change()
	if change.Base != s.Revision() {
		return refusedError(record, "it builds on another version than the current one")
	}
	var sum digest
	checked := s.lastChecked.Load()
	if !s.history.disabled || checked != nil {
		sum = change.digest()
	}
	if checked != nil && checked.digest == sum {
		next.Config = checked.config
	} else {
		candidate, err := s.nextConfig(change, config.ParseAccepted, config.AmendAccepted)
		if err != nil {
			return refusedError(record, err.Error())
		}
		next.Config = candidate
	}
	next.history = s.history.withChange(appliedChange{Revision: next.Config.Revision, Seq: record.Seq, Digest: sum})
	return nil
}

// WithoutHistory returns the state without its history, for subscribers that check no changes. The returned state, and the states
// that Apply derives from it, have the same configuration and zones but use less memory; their verdict on an older base is
// Uncertain.
func (s *State) WithoutHistory() *State {
	return &State{Seq: s.Seq, Config: s.Config, Evacuated: s.Evacuated,
		history: changeHistory{disabled: true, baseRevision: s.Revision()}, zoneChanges: s.zoneChanges}
}

// ZoneChangeSeq returns the number of the record that last evacuated or readmitted a zone, or a later number if that record is not
// remembered. It returns 0 if there was none.
func (s *State) ZoneChangeSeq(zone string) uint64 { return s.zoneChanges.lastChangeOf(zone) }

// checkOnOtherRevision returns the verdict on a change that does not build on the current revision.
func (s *State) checkOnOtherRevision(change Change, sum digest, dependsOnSeq uint64) Verdict {
	if entry := s.history.builtOn(change.Base); entry != nil && s.history.matches(entry, change, sum) {
		return Verdict{Kind: AlreadyApplied, Seq: entry.Seq, Reason: "this very change has been applied"}
	}
	if change.Base >= 0 && change.Base < s.history.baseRevision {
		return Verdict{Kind: Uncertain, Seq: dependsOnSeq, Reason: errors.Newf("builds on version %d, and what was applied on versions "+
			"below %d is not remembered: read the configuration, and if it lacks the change send it on top of version %d",
			change.Base, s.history.baseRevision, s.Revision()).Error()}
	}
	return Verdict{Kind: Stale, Seq: dependsOnSeq, Reason: errors.Newf(
		"builds on version %d, but %d is current: read it and send the change on top of it", change.Base, s.Revision()).Error()}
}
