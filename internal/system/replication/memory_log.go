package replication

import (
	"slices"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// entry is a record and the epoch in which the head accepted it. Across all nodes, the two numbers together identify one record and
// the complete log below it: an epoch has one head, which sends on only what it has on disk.
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

// maxReportedRuns bounds the summary that a node sends of its log.
const maxReportedRuns = 64

// memoryLog is the log in memory: the records above base, which is covered by a snapshot. The zero value is empty.
type memoryLog struct {
	base      uint64
	baseEpoch uint64
	entries   []entry
}

func (l *memoryLog) end() uint64 { return l.base + uint64(len(l.entries)) }

func (l *memoryLog) at(seq uint64) *entry { return &l.entries[seq-l.base-1] }

// epochAt returns the epoch of the record seq. It returns false if the record is not in memory.
func (l *memoryLog) epochAt(seq uint64) (uint64, bool) {
	switch {
	case seq < l.base || seq > l.end():
		return 0, false
	case seq == l.base:
		return l.baseEpoch, true
	}
	return l.at(seq).epoch, true
}

// truncate removes the records above after, which must not be below base.
func (l *memoryLog) truncate(after uint64) {
	if after < l.end() {
		l.entries = l.entries[: after-l.base : after-l.base]
	}
}

// compact removes the records up to seq from memory.
func (l *memoryLog) compact(seq uint64) {
	if seq <= l.base || seq > l.end() {
		return
	}
	epoch := l.at(seq).epoch
	l.entries = append([]entry(nil), l.entries[seq-l.base:]...)
	l.base, l.baseEpoch = seq, epoch
}

// between returns copies of the records from..to, as many as fit into maxBytes and at least one.
func (l *memoryLog) between(from, to uint64, maxBytes int) []*replicationpb.Entry {
	var out []*replicationpb.Entry
	for seq := from; seq <= to && seq <= l.end(); seq++ {
		e := l.at(seq)
		if maxBytes -= e.size(); maxBytes < 0 && len(out) > 0 {
			break
		}
		out = append(out, e.pb())
	}
	return out
}

// size returns the number of bytes of those records from..to that are in memory.
func (l *memoryLog) size(from, to uint64) int {
	total := 0
	for seq := max(from, l.base+1); seq <= to && seq <= l.end(); seq++ {
		total += l.at(seq).size()
	}
	return total
}

// logSummary describes the contents of a log: the record base and everything below it, and runs of records of one epoch above it, the
// oldest first.
type logSummary struct {
	base, baseEpoch uint64
	runs            []*replicationpb.Run
}

// summary returns a summary with the newest maxReportedRuns runs.
func (l *memoryLog) summary() logSummary {
	sum := logSummary{base: l.base, baseEpoch: l.baseEpoch}
	for i := range l.entries {
		e := &l.entries[i]
		if n := len(sum.runs); n > 0 && sum.runs[n-1].Epoch == e.epoch {
			sum.runs[n-1].Last = e.rec.Seq
			continue
		}
		sum.runs = append(sum.runs, &replicationpb.Run{Epoch: e.epoch, Last: e.rec.Seq})
	}
	if dropped := len(sum.runs) - maxReportedRuns; dropped > 0 {
		newest := sum.runs[dropped-1]
		sum.base, sum.baseEpoch, sum.runs = newest.Last, newest.Epoch, sum.runs[dropped:]
	}
	return sum
}

// lastCommon finds the newest record that is in both this log and the one described. It returns false if there is none as far as is
// known. Epoch and number identify a record and the log below it, so the logs agree up to that record.
func (l *memoryLog) lastCommon(theirs logSummary) (uint64, bool) {
	for i, run := range slices.Backward(theirs.runs) {
		first := theirs.base + 1
		if i > 0 {
			first = theirs.runs[i-1].GetLast() + 1
		}
		if seq, ok := l.lastOfEpoch(run.GetEpoch(), first, run.GetLast()); ok {
			return seq, true
		}
	}
	if epoch, ok := l.epochAt(theirs.base); ok && epoch == theirs.baseEpoch {
		return theirs.base, true
	}
	return 0, false
}

// lastOfEpoch finds the newest record of the epoch among the records first..last.
func (l *memoryLog) lastOfEpoch(wanted, first, last uint64) (uint64, bool) {
	for seq := min(last, l.end()); seq >= first && seq >= l.base; seq-- {
		if epoch, ok := l.epochAt(seq); ok && epoch == wanted {
			return seq, true
		}
		if seq == 0 {
			break
		}
	}
	return 0, false
}
