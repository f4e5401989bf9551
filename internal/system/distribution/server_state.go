package distribution

import (
	"context"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/distribution/catchup"
	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/rpc"
)

// snapshotTTL is how long a snapshot is given to followers that need one though there is a newer state: encoding a large
// configuration for each of many changes a second would take the keeper's time from the chain.
const snapshotTTL = 250 * time.Millisecond

const (
	// isolationThreshold is how long a keeper is not current until its table counts as behind: the others' shares are over.
	isolationThreshold = peerTTL
	// rejoinDelay is what the shares get after that to bring the table level: a call that waits for its bound and the
	// one after it, and the answer of those that know better.
	rejoinDelay = 2 * time.Second
)

// isCurrent tells whether proxies may take this keeper's word for the newest.
func (h *Server) isCurrent() bool {
	current := h.options.Source.Current()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.mayServe(time.Now(), current)
}

// mayServe tells whether a keeper whose chain calls it current is so with its soft state too: one that was cut off or stood
// still gets time to hear what it has missed. One that heard the others all the while, as in a repair of the chain, does not
// wait, nor does one at its start. The caller holds mu.
func (h *Server) mayServe(now time.Time, current bool) bool {
	if !current {
		return false
	}
	if !h.lastCurrent.IsZero() && now.Sub(h.lastCurrent) > isolationThreshold && now.Sub(h.isolatedAt) < rejoinDelay {
		h.rejoinedAt = now
	}
	h.lastCurrent = now
	return h.rejoinedAt.IsZero() || now.Sub(h.rejoinedAt) >= rejoinDelay || h.options.Knobs.SkipRejoinDelay
}

// snapshotCache keeps the newest encoded snapshot, which all followers share. The zero value is ready.
type snapshotCache struct {
	mu       sync.Mutex // held while one is made: whoever needs one waits for it
	seq      uint64     // 0: there is none
	count    int        // made so far
	madeAt   time.Time
	encoded  []byte
	deflated bool
}

// probeReply tells how this keeper stands, to a proxy that looks for one.
func (h *Server) probeReply(start time.Time) *distributionpb.FollowReply {
	reply := &distributionpb.FollowReply{CheckedMs: uint64(time.Since(start) / time.Millisecond), Current: h.isCurrent()}
	if state, _ := h.options.Source.Committed(); state != nil {
		reply.Newest = state.Seq
	}
	return reply
}

// addControlState adds what comes after the number after of the control state. It must not be called with mu held: a large state
// takes long to encode.
//
// Where too many bytes wait to be taken by others, it adds nothing but what the newest number is: the proxy asks again.
func (h *Server) addControlState(ctx context.Context, reply *distributionpb.FollowReply, after uint64) {
	state, _ := h.options.Source.Committed()
	if state == nil {
		return
	}
	reply.Newest = state.Seq
	records, stock := h.availability(after, state.Seq)
	switch catchup.PlanReply(after, stock, h.limits.MaxRecordsPerReply) {
	case catchup.None:
	case catchup.Records:
		h.addRecords(reply, records)
	case catchup.CachedSnapshot, catchup.NewSnapshot:
		h.addSnapshot(reply, after, state)
	}
	size := len(reply.GetSnapshot())
	for _, r := range reply.GetRecords() {
		size += len(r.GetBody())
	}
	if size > uncountedReplyBytes && !h.replyBudget.reserve(ctx, size) {
		reply.Snapshot, reply.Records = nil, nil
	}
}

// availability counts the records between two numbers.
func (h *Server) availability(after, committed uint64) ([]controlstate.Record, catchup.Availability) {
	s := catchup.Availability{Committed: committed}
	if after >= committed {
		return nil, s
	}
	records, known := h.options.Source.RecordsAfter(after, h.limits.MaxRecordsPerReply+1)
	for _, r := range records {
		s.Bytes += len(r.Body)
	}
	s.Known, s.Records = known && len(records) > 0, len(records)
	return records, s
}

func (h *Server) addRecords(reply *distributionpb.FollowReply, records []controlstate.Record) {
	for _, r := range records {
		reply.Records = append(reply.Records, h.records.encode(r))
		reply.Newest = max(reply.Newest, r.Seq)
	}
}

// addSnapshot adds the snapshot at hand if that helps, or a new one, and the records after it as far as they fit.
func (h *Server) addSnapshot(reply *distributionpb.FollowReply, after uint64, state *controlstate.State) {
	s := &h.snapshot
	s.mu.Lock()
	defer s.mu.Unlock()
	records, stock := h.availability(s.seq, state.Seq)
	fit := s.seq == state.Seq || stock.Known && stock.Records <= h.limits.MaxRecordsPerReply && stock.Bytes <= catchup.MaxReplyBytes
	stock.CachedSnapshot, stock.CachedSnapshotUsable = s.seq, s.seq > 0 && (fit || time.Since(s.madeAt) < snapshotTTL)
	stock.Known = false
	if catchup.PlanReply(after, stock, h.limits.MaxRecordsPerReply) == catchup.NewSnapshot {
		s.encoded, s.deflated = rpc.Compress(state.WithoutHistory().Encode()) // followers judge no changes
		s.seq, s.madeAt, s.count = state.Seq, time.Now(), s.count+1
		records, fit = nil, false
	}
	reply.Snapshot, reply.SnapshotDeflated = s.encoded, s.deflated
	if fit {
		h.addRecords(reply, records)
	}
}
