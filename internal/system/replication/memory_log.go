package replication

import (
	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// entry is a record and the epoch in which the head took it. The two numbers together name one record, and the whole
// log below it, among all keepers: an epoch has one head, which hands on only what it has on disk.
type entry struct {
	epoch uint64
	rec   controlstate.Record
}

func (e *entry) pb() *replicationpb.Entry {
	return &replicationpb.Entry{
		Epoch: e.epoch, Seq: e.rec.Seq, Op: uint32(e.rec.Op), Base: e.rec.Base, Body: e.rec.Body, Zone: e.rec.Zone,
	}
}

func entryOf(p *replicationpb.Entry) entry {
	return entry{epoch: p.GetEpoch(), rec: controlstate.Record{
		Seq: p.GetSeq(), Op: controlstate.Op(p.GetOp()), Base: p.GetBase(), Body: p.GetBody(), Zone: p.GetZone(),
	}}
}

func (e *entry) size() int { return 32 + len(e.rec.Body) + len(e.rec.Zone) }

// maxReportedRuns bounds what a keeper tells of its log.
const maxReportedRuns = 64

// memoryLog is the log in memory: the records above base.
type memoryLog struct {
	base      uint64
	baseEpoch uint64
	entries   []entry
}

func (l *memoryLog) end() uint64 { return l.base + uint64(len(l.entries)) }

func (l *memoryLog) at(seq uint64) *entry { return &l.entries[seq-l.base-1] }

// epochAt gives the epoch of the record seq, false where the log does not hold it.
func (l *memoryLog) epochAt(seq uint64) (uint64, bool) {
	switch {
	case seq < l.base || seq > l.end():
		return 0, false
	case seq == l.base:
		return l.baseEpoch, true
	}
	return l.at(seq).epoch, true
}

// truncate drops the records above after, which must not be below base.
func (l *memoryLog) truncate(after uint64) {
	if after < l.end() {
		l.entries = l.entries[: after-l.base : after-l.base]
	}
}

// compact forgets the records up to seq.
func (l *memoryLog) compact(seq uint64) {
	if seq <= l.base || seq > l.end() {
		return
	}
	epoch := l.at(seq).epoch
	l.entries = append([]entry(nil), l.entries[seq-l.base:]...)
	l.base, l.baseEpoch = seq, epoch
}

// between copies the records from..to, as many as fit into bytes and one at least.
func (l *memoryLog) between(from, to uint64, bytes int) []*replicationpb.Entry {
	var out []*replicationpb.Entry
	for seq := from; seq <= to && seq <= l.end(); seq++ {
		e := l.at(seq)
		if bytes -= e.size(); bytes < 0 && len(out) > 0 {
			break
		}
		out = append(out, e.pb())
	}
	return out
}

// size is what the records from..to take, as far as they are held.
func (l *memoryLog) size(from, to uint64) int {
	n := 0
	for seq := max(from, l.base+1); seq <= to && seq <= l.end(); seq++ {
		n += l.at(seq).size()
	}
	return n
}

// runs lists the newest stretches of records of one epoch, the oldest first.
func (l *memoryLog) runs() (base, baseEpoch uint64, runs []*replicationpb.Run) {
	base, baseEpoch = l.base, l.baseEpoch
	for i := range l.entries {
		e := &l.entries[i]
		if n := len(runs); n > 0 && runs[n-1].Epoch == e.epoch {
			runs[n-1].Last = e.rec.Seq
			continue
		}
		runs = append(runs, &replicationpb.Run{Epoch: e.epoch, Last: e.rec.Seq})
	}
	if n := len(runs); n > maxReportedRuns {
		base, baseEpoch = runs[n-maxReportedRuns-1].Last, runs[n-maxReportedRuns-1].Epoch
		runs = runs[n-maxReportedRuns:]
	}
	return base, baseEpoch, runs
}

// lastCommon finds the newest record that both this log and the one told of hold; false when none is in sight.
func (l *memoryLog) lastCommon(base, baseEpoch uint64, runs []*replicationpb.Run) (uint64, bool) {
	for i := len(runs) - 1; i >= 0; i-- {
		first := base + 1
		if i > 0 {
			first = runs[i-1].GetLast() + 1
		}
		for seq := min(runs[i].GetLast(), l.end()); seq >= first && seq >= l.base; seq-- {
			if e, ok := l.epochAt(seq); ok && e == runs[i].GetEpoch() {
				return seq, true
			}
			if seq == 0 {
				break
			}
		}
	}
	if e, ok := l.epochAt(base); ok && e == baseEpoch {
		return base, true
	}
	return 0, false
}
