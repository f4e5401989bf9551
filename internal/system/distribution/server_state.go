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

// snapshotTTL is how long a snapshot is sent to subscribers that need one although there is a newer state: encoding a large configuration
// for each of many changes per second would take processing time away from the chain.
const snapshotTTL = 250 * time.Millisecond

// snapshotCache holds the newest encoded snapshot, which all subscribers share. The zero value is ready to use.
type snapshotCache struct {
	mu        sync.Mutex // held while a snapshot is encoded: concurrent callers wait for the result
	seq       uint64     // 0: there is none
	count     int        // number of snapshots encoded so far
	encodedAt time.Time
	encoded   []byte
	deflated  bool
}

// replace encodes a snapshot of the state and caches it in place of the former one. The caller holds mu.
func (c *snapshotCache) replace(state *controlstate.State) {
	c.encoded, c.deflated = rpc.Compress(state.WithoutHistory().Encode()) // subscribers do not use the history of changes
	c.seq, c.encodedAt, c.count = state.Seq, time.Now(), c.count+1
}

// probeReply replies to a proxy that is searching for a node: it states whether this node is current, and its newest record.
func (s *Server) probeReply(start time.Time) *distributionpb.FollowReply {
	reply := &distributionpb.FollowReply{CheckedMs: uint64(time.Since(start) / time.Millisecond), Current: s.isCurrent()}
	if state, _ := s.options.Source.Committed(); state != nil {
		reply.Newest = state.Seq
	}
	return reply
}

// addControlState adds the control state after the given number. It must not be called with mu held: a large state takes long to encode.
//
// If too many bytes of other replies have not been read yet, it adds nothing but the newest number, and the proxy asks again.
func (s *Server) addControlState(ctx context.Context, reply *distributionpb.FollowReply, after uint64) {
	state, _ := s.options.Source.Committed()
	if state == nil {
		return
	}
	reply.Newest = state.Seq
	records, available := s.availability(after, state.Seq)
	switch catchup.PlanReply(after, available, s.limits.MaxRecordsPerReply) {
	case catchup.None:
	case catchup.Records:
		s.addRecords(reply, records)
	case catchup.CachedSnapshot, catchup.NewSnapshot: // addSnapshot decides which of the two
		s.addSnapshot(reply, after, state)
	}
	if size := stateBytes(reply); size > uncountedReplyBytes && !s.replyBudget.reserve(ctx, size) {
		reply.Snapshot, reply.Records = nil, nil
	}
}

// stateBytes returns the size of a reply's snapshot and of the bodies of its records.
func stateBytes(reply *distributionpb.FollowReply) int {
	size := len(reply.GetSnapshot())
	for _, r := range reply.GetRecords() {
		size += len(r.GetBody())
	}
	return size
}

// availability returns the records between two numbers, and a summary of them. It does not fill in the cached snapshot.
func (s *Server) availability(after, committed uint64) ([]controlstate.Record, catchup.Availability) {
	available := catchup.Availability{Committed: committed}
	if after >= committed {
		return nil, available
	}
	records, known := s.options.Source.RecordsAfter(after, s.limits.MaxRecordsPerReply+1)
	for _, r := range records {
		available.Bytes += len(r.Body)
	}
	available.Known, available.Records = known && len(records) > 0, len(records)
	return records, available
}

func (s *Server) addRecords(reply *distributionpb.FollowReply, records []controlstate.Record) {
	for _, r := range records {
		reply.Records = append(reply.Records, s.records.encode(r))
		reply.Newest = max(reply.Newest, r.Seq)
	}
}

// addSnapshot adds the cached snapshot if it is useful, or else a new one, and the records after it as far as they fit.
func (s *Server) addSnapshot(reply *distributionpb.FollowReply, after uint64, state *controlstate.State) {
	cache := &s.snapshot
	cache.mu.Lock()
	defer cache.mu.Unlock()
	records, afterCached := s.availability(cache.seq, state.Seq)
	afterCached.CachedSnapshot = cache.seq
	isRecent := time.Since(cache.encodedAt) < snapshotTTL
	method, withRecords := catchup.PlanSnapshot(after, afterCached, isRecent, s.limits.MaxRecordsPerReply)
	if method == catchup.NewSnapshot {
		cache.replace(state)
	}
	reply.Snapshot, reply.SnapshotDeflated = cache.encoded, cache.deflated
	if withRecords {
		s.addRecords(reply, records)
	}
}
