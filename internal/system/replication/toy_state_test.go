package replication

import (
	"cmp"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strings"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

// toyHistory is how many changes a toy remembers; controlstate.MaxHistory is 4,096.
const toyHistory = 24

// toy is a small state that follows the contract of controlstate.State: a versioned register (OpReplace, OpAmend) that recognizes its
// last changes when they are repeated, zones whose changes carry a fence (OpEvacuate, OpReadmit), and notes (OpNone), which only the
// core protects from being applied twice.
type toy struct {
	seq      uint64
	rev      int64
	hash     uint64 // of all records
	applied  []toyApplied
	zones    map[string]toyZone
	lastZone string // the last zone named

	machine toyMachine
}

// toyImage is an encoded toy. The keys are fixed, so that the encoding does not depend on the names of the fields.
type toyImage struct {
	Seq      uint64             `json:"Seq"`
	Rev      int64              `json:"Rev"`
	Hash     uint64             `json:"Hash"`
	Taken    []toyApplied       `json:"Taken"`
	Zones    map[string]toyZone `json:"Zones"`
	LastZone string             `json:"Note"`
}

type toyApplied struct {
	Key string `json:"Key"`
	Seq uint64 `json:"Seq"`
}

type toyZone struct {
	Evacuated bool   `json:"Evacuated"`
	Seq       uint64 `json:"Seq"` // of the record that last changed it
}

// registerKey returns the key of a change of the register.
func registerKey(op controlstate.Op, base int64, body []byte) string {
	return fmt.Sprintf("%d %d %s", op, base, body)
}

func (s *toy) Check(change controlstate.Change) controlstate.Verdict {
	if strings.HasPrefix(string(change.Body), "bad") {
		return controlstate.Verdict{Kind: controlstate.Invalid, Reason: "bad"}
	}
	switch change.Op {
	case controlstate.OpEvacuate, controlstate.OpReadmit:
		return s.checkZone(change)
	case controlstate.OpReplace, controlstate.OpAmend:
	default:
		return controlstate.Verdict{Kind: controlstate.Accepted}
	}
	key := registerKey(change.Op, change.Base, change.Body)
	for _, t := range s.applied {
		if t.Key == key && !s.machine.forgetful {
			return controlstate.Verdict{Kind: controlstate.AlreadyApplied, Seq: t.Seq}
		}
	}
	switch {
	case change.Base == s.rev:
		return controlstate.Verdict{Kind: controlstate.Accepted}
	case change.Base+1 <= s.rev-int64(len(s.applied)):
		return controlstate.Verdict{Kind: controlstate.Uncertain}
	}
	return controlstate.Verdict{Kind: controlstate.Stale}
}

// checkZone also accepts a change that is already in effect, since its record fences earlier changes.
func (s *toy) checkZone(ch controlstate.Change) controlstate.Verdict {
	z := s.zones[ch.Zone]
	switch {
	case z.Seq <= uint64(ch.Base):
		return controlstate.Verdict{Kind: controlstate.Accepted}
	case z.Evacuated == (ch.Op == controlstate.OpEvacuate):
		return controlstate.Verdict{Kind: controlstate.AlreadyApplied, Seq: z.Seq}
	}
	return controlstate.Verdict{Kind: controlstate.Superseded}
}

func (s *toy) Apply(r controlstate.Record) (State, error) {
	next := *s
	next.seq = r.Seq
	if r.Zone != "" {
		next.lastZone = r.Zone
	}
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d %d %d %d %s %s", s.hash, r.Seq, r.Op, r.Base, r.Body, r.Zone)
	next.hash = h.Sum64()
	if r.Seq != s.seq+1 {
		return nil, fmt.Errorf("record %d follows %d", r.Seq, s.seq)
	}
	switch r.Op {
	case controlstate.OpReplace, controlstate.OpAmend:
		if r.Base != s.rev {
			return nil, fmt.Errorf("record %d builds on version %d, current is %d", r.Seq, r.Base, s.rev)
		}
		next.rev++
		next.applied = append(slices.Clone(s.applied[max(0, len(s.applied)-cmp.Or(s.machine.history, toyHistory)+1):]), toyApplied{registerKey(r.Op, r.Base, r.Body), r.Seq})
	case controlstate.OpEvacuate, controlstate.OpReadmit:
		next.zones = maps.Clone(s.zones)
		if next.zones == nil {
			next.zones = map[string]toyZone{}
		}
		next.zones[r.Zone] = toyZone{Evacuated: r.Op == controlstate.OpEvacuate, Seq: r.Seq}
	}
	return &next, nil
}

func (s *toy) Encode() []byte {
	data, _ := json.Marshal(toyImage{s.seq, s.rev, s.hash, s.applied, s.zones, s.lastZone})
	return data
}

type toyMachine struct {
	forgetful bool // disables a protection: no change is recognized when it is repeated
	history   int  // number of remembered changes; 0: toyHistory
}

func (m toyMachine) Empty() State { return &toy{machine: m} }

func (m toyMachine) Decode(data []byte) (State, error) {
	var im toyImage
	if err := json.Unmarshal(data, &im); err != nil {
		return nil, err
	}
	return &toy{seq: im.Seq, rev: im.Rev, hash: im.Hash, applied: im.Taken, zones: im.Zones, lastZone: im.LastZone, machine: m}, nil
}

// describe returns a text that distinguishes states.
func describe(s *toy) string {
	return fmt.Sprintf("record %d version %d hash %x", s.seq, s.rev, s.hash)
}
