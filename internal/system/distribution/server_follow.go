package distribution

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/twitchtv/twirp"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
)

// currentRecheckInterval is how often a keeper that is not current looks whether it has become so, while a proxy waits for that.
const currentRecheckInterval = 40 * time.Millisecond

// Follow serves a poll of a proxy: see the service's definition.
func (h *Server) Follow(ctx context.Context, req *distributionpb.FollowRequest) (*distributionpb.FollowReply, error) {
	reply, err := h.serveFollow(ctx, req)
	if reply != nil {
		reply.Call = req.GetCall()
	}
	return reply, err
}

func (h *Server) serveFollow(ctx context.Context, req *distributionpb.FollowRequest) (*distributionpb.FollowReply, error) {
	start := time.Now()
	m := softstate.MemberFromProto(req.GetMember())
	if m.Node == "" || len(m.Node) > softstate.MaxIDBytes || m.Incarnation == 0 {
		return nil, twirp.RequiredArgumentError("member")
	}
	if req.GetProbe() {
		return h.probeReply(start), nil
	}
	if !h.isCurrent() && !req.GetAcceptStale() {
		return &distributionpb.FollowReply{PaceMs: uint64(h.limits.LoadReportInterval / time.Millisecond)}, nil
	}
	f := h.beginCall(m, req)
	if f == nil {
		return nil, twirp.NewError(twirp.ResourceExhausted, "this keeper has too many followers: follow another")
	}
	defer h.endCall(f)
	wait := min(softstate.BoundedMilliseconds(req.GetWaitMs(), time.Minute), h.limits.LongPollTimeout)
	for {
		reply, news, committed, again := h.tryReply(ctx, f, req, start)
		left := wait - time.Since(start)
		if reply != nil || left <= 0 {
			if reply == nil {
				reply = h.buildReply(ctx, f, req, start)
			}
			return reply, nil
		}
		if again > 0 {
			left = min(left, again)
		}
		timer := time.NewTimer(left)
		select {
		case <-ctx.Done():
			timer.Stop()
			h.recordLostConnection(f)
			return nil, twirp.NewError(twirp.Canceled, "the proxy went away")
		case <-h.done:
			timer.Stop()
			return nil, twirp.NewError(twirp.Unavailable, "this keeper stops; follow another")
		case <-news:
		case <-committed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// maxSubscribers bounds the proxies of one keeper.
const maxSubscribers = 4096

// beginCall notes a call: the member, its acknowledgement, its loads, its verdicts. It gives nil where there are too many.
func (h *Server) beginCall(m softstate.Member, req *distributionpb.FollowRequest) *subscriberSession {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.subscribers[m.Node]
	fresh := f == nil || f.member.Incarnation != m.Incarnation
	if f == nil && len(h.subscribers) >= maxSubscribers {
		return nil
	}
	if fresh {
		f = &subscriberSession{member: m}
		h.subscribers[m.Node] = f
	}
	f.lastCall, f.connectionLostAt = now, time.Time{}
	f.openCalls++
	if fresh || req.GetSeq() > f.ackedSeq {
		f.ackedSeq = max(f.ackedSeq, req.GetSeq())
		h.updateMinAcked()
	}
	f.loads.Apply(now, req.GetLoads())
	if m.Revision >= f.member.Revision {
		f.member = m
	}
	h.assertAlive(now, f.member)
	for _, v := range req.GetDown() {
		h.applyVerdict(now, v.GetNode(), v.GetIncarnation())
	}
	return f
}

// recordLostConnection notes that a held call's connection ended: a process that ends takes its connections with it.
func (h *Server) recordLostConnection(f *subscriberSession) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f.connectionLostAt = time.Now()
}

func (h *Server) endCall(f *subscriberSession) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f.openCalls--
	f.lastCall = time.Now()
}

// updateMinAcked brings lowest up to date. The caller holds mu.
func (h *Server) updateMinAcked() {
	lowest := uint64(math.MaxUint64)
	for _, f := range h.subscribers {
		lowest = min(lowest, f.ackedSeq)
	}
	if lowest != h.minAckedSeq {
		h.minAckedSeq = lowest
		signal(h.syncRequested)
	}
	close(h.ackChanged)
	h.ackChanged = make(chan struct{})
}

// tryReply gives a reply if there is something that the request does not have. Otherwise it gives what to wait for, and
// after how long a report of loads is due.
func (h *Server) tryReply(ctx context.Context, f *subscriberSession, req *distributionpb.FollowRequest, start time.Time) (*distributionpb.FollowReply, <-chan struct{}, <-chan struct{}, time.Duration) {
	state, committed := h.options.Source.Committed()
	current := h.isCurrent()
	digest := addressDigest(h.options.Source.Addresses())
	h.mu.Lock()
	news := h.changed
	c := req.GetSoft()
	ready := !current && !req.GetAcceptStale() ||
		current && state != nil && state.Seq > req.GetSeq() ||
		c.GetBoot() != h.bootID || h.nodesDigest(digest) != req.GetKeepers()
	var again time.Duration
	due := func(last time.Time, every time.Duration) {
		left := every - time.Since(last)
		if left <= 0 {
			ready = true
		} else if again == 0 || left < again {
			again = left
		}
	}
	if c.GetNumber() < h.table.LastUrgent {
		// A change that comes alone goes out at once, one close upon another waits for more.
		due(f.entriesSentAt, h.loadReportInterval()/2)
	}
	if !current && (again == 0 || currentRecheckInterval < again) {
		again = currentRecheckInterval // nothing tells that this keeper has become current
	}
	if softstate.CursorFromProto(req.GetTotals()) != h.totalLoads.Cursor {
		due(f.totalsSentAt, h.loadReportInterval())
	}
	h.mu.Unlock()
	if ready {
		return h.buildReply(ctx, f, req, start), nil, nil, 0
	}
	return nil, news, committed, again
}

// buildReply makes the reply to a request that came at start, with all that it does not have.
func (h *Server) buildReply(ctx context.Context, f *subscriberSession, req *distributionpb.FollowRequest, start time.Time) *distributionpb.FollowReply {
	reply := &distributionpb.FollowReply{CheckedMs: uint64(time.Since(start) / time.Millisecond)}
	// First whether this keeper is current, then what it holds: what is acknowledged between is then in the reply.
	reply.Current = h.isCurrent()
	addresses := h.options.Source.Addresses()
	digest := addressDigest(addresses)
	if reply.Current {
		h.addControlState(ctx, reply, req.GetSeq())
	}
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	since := uint64(0)
	if req.GetSoft().GetBoot() == h.bootID {
		since = req.GetSoft().GetNumber()
	}
	items, full := h.table.ChangesSince(since)
	reply.Entries, reply.Full, reply.Complete = softstate.EncodeEntries(now, items), full, h.complete
	if len(items) > 0 {
		f.entriesSentAt = now
	}
	reply.Soft = &distributionpb.Cursor{Boot: h.bootID, Number: h.table.LastNumber}
	totals := h.totalLoads.ChangesSince(softstate.CursorFromProto(req.GetTotals()))
	if totals.From != totals.Number || req.GetTotals().GetBoot() != totals.Boot {
		reply.Totals = softstate.Marshal(totals)
		f.totalsSentAt = now
	}
	reply.TotalsOf = f.loadsInTotals
	reply.Told = f.loads.Cursor.ToProto()
	if reply.KeepersDigest = h.nodesDigest(digest); reply.KeepersDigest != req.GetKeepers() {
		reply.Keepers = h.controlPlaneNodes(addresses)
	}
	reply.PaceMs = uint64(h.loadReportInterval() / time.Millisecond)
	return reply
}

// controlPlaneNodes gives the controlPlaneNodes in the chain's order, with where they are as far as that has been heard.
func (h *Server) controlPlaneNodes(addresses []string) []*distributionpb.Keeper {
	out := make([]*distributionpb.Keeper, 0, len(addresses))
	for _, a := range addresses {
		switch p := h.peers[a]; {
		case a == h.options.Self:
			out = append(out, &distributionpb.Keeper{Address: a, Zone: h.options.Zone, Region: h.options.Region})
		case p != nil:
			out = append(out, p.location)
		default:
			out = append(out, &distributionpb.Keeper{Address: a})
		}
	}
	return out
}

func addressDigest(addresses []string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, a := range addresses {
		_, _ = d.WriteString(a)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// nodesDigest mixes into the digest of the addresses how many keepers are known by place.
func (h *Server) nodesDigest(digest uint64) uint64 { return digest + uint64(len(h.peers)) }

// assertAlive writes that the process m lives and follows this hub. The caller holds mu.
func (h *Server) assertAlive(now time.Time, m softstate.Member) {
	m.Owner, m.Down = h.options.Self, false
	key := softstate.MemberPrefix + m.Node
	e := softstate.Entry{Key: key, Fence: 1, Version: 1, Value: m.Encode()}
	if held := h.table.Get(key); held != nil {
		was, ok := held.Member()
		switch {
		case ok && !held.Deleted && was.Incarnation == m.Incarnation:
			if was == m || was.Revision > m.Revision {
				return
			}
			e.Fence, e.Version = held.Fence, held.Version+1
		default:
			// Another life of the node: whatever is still said of the former one is below.
			e.Fence = held.Fence + 1
		}
	}
	h.mergeEntry(now, e, softstate.Age{})
}

// markDown writes that the process that the entry is about is silent. The caller holds mu.
func (h *Server) markDown(now time.Time, it *softstate.StoredEntry, m softstate.Member, why string) {
	m.Down = true
	h.options.Log.WithFields(downLogFields(m.Node, why)).Info("distribution: a proxy is marked down")
	h.mergeEntry(now, softstate.Entry{Key: it.Key, Fence: it.Fence, Version: it.Version + 1, Value: m.Encode()}, softstate.Age{})
}

// applyVerdict takes in what another proxy says of one: the keeper that it follows knows better, while that one is heard.
func (h *Server) applyVerdict(now time.Time, node string, incarnation uint64) {
	it := h.table.Get(softstate.MemberPrefix + node)
	if it == nil || it.Deleted {
		return
	}
	m, ok := it.Member()
	if !ok || m.Down || m.Incarnation != incarnation {
		return
	}
	if f := h.subscribers[node]; f != nil && f.member.Incarnation == incarnation && (f.openCalls > 0 || now.Sub(f.lastCall) < h.limits.SubscriberTimeout/2) {
		return
	}
	if m.Owner != h.options.Self && h.hasContact(now, m.Owner) {
		return
	}
	h.markDown(now, it, m, "other proxies hear nothing from it")
}

// reconnectTimeout is how long a proxy whose held call's connection ended may take to call again, here or at another keeper.
const reconnectTimeout = 350 * time.Millisecond

// hasContact tells whether the keeper has shared of late, with this one or with another that has shared with this one: a keeper
// that only this one does not hear still judges its own followers. The caller holds mu.
func (h *Server) hasContact(now time.Time, keeper string) bool {
	for address, p := range h.peers {
		if now.Sub(p.lastContact) <= peerTTL && (address == keeper || slices.Contains(p.reachablePeers, keeper) && !h.options.Knobs.OwnContactsOnly) {
			return true
		}
	}
	return false
}

// evaluateLiveness drops followers that stopped calling, marks them down, deletes those down for long, and takes over the judging
// of those that followed a keeper which is not heard from. The caller holds mu.
func (h *Server) evaluateLiveness(now time.Time) {
	dropped := false
	ended := map[string]uint64{} // lives whose connection ended, and that have not come back
	for node, f := range h.subscribers {
		if f.openCalls > 0 {
			continue
		}
		if !f.connectionLostAt.IsZero() && now.Sub(f.connectionLostAt) > reconnectTimeout {
			ended[node] = f.member.Incarnation
		} else if now.Sub(f.lastCall) <= h.limits.SubscriberTimeout {
			continue
		}
		delete(h.subscribers, node)
		dropped = true
	}
	type fall struct {
		it  *softstate.StoredEntry
		m   softstate.Member
		why string
	}
	var falls []fall
	var gone []*softstate.StoredEntry
	for _, it := range h.table.Live(softstate.MemberPrefix) {
		m, ok := it.Member()
		f := h.subscribers[m.Node]
		switch {
		case !ok:
			gone = append(gone, it)
		case f != nil && f.member.Incarnation == m.Incarnation:
			if m.Owner != h.options.Self {
				// It has moved: its loads and acknowledgements are told there.
				delete(h.subscribers, m.Node)
				dropped = true
			}
		case m.Down:
			if it.AgeAt(now).Max > h.limits.TombstoneTTL {
				gone = append(gone, it)
			}
		case m.Owner == h.options.Self && ended[m.Node] == m.Incarnation:
			falls = append(falls, fall{it, m, "its connection ended"})
		case m.Owner == h.options.Self:
			if it.AgeAt(now).Max > h.limits.SubscriberTimeout {
				falls = append(falls, fall{it, m, "it does not call any more"})
			}
		case !h.hasContact(now, m.Owner) && it.AgeAt(now).Max > orphanTimeout && now.Sub(h.startedAt) > orphanTimeout && h.isPeerLost(now, m.Owner):
			falls = append(falls, fall{it, m, "the keeper that it followed is silent too"})
		}
	}
	if dropped {
		h.updateMinAcked()
	}
	for _, f := range falls {
		h.markDown(now, f.it, f.m, f.why)
	}
	for _, it := range gone {
		h.mergeEntry(now, softstate.Entry{Key: it.Key, Fence: it.Fence, Version: it.Version + 1, Deleted: true}, softstate.Age{})
	}
}

// isPeerLost tells whether a keeper has been silent for so long that its followers must have moved on.
func (h *Server) isPeerLost(now time.Time, keeper string) bool {
	p := h.peers[keeper]
	return p == nil || now.Sub(p.lastContact) > peerTTL+orphanTimeout
}
