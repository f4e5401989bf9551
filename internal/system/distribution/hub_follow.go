package distribution

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/twitchtv/twirp"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
)

// recheck is how often a keeper that is not current looks whether it has become so, while a proxy waits for that.
const recheck = 40 * time.Millisecond

// Follow serves a poll of a proxy: see the service's definition.
func (h *Server) Follow(ctx context.Context, req *distributionpb.FollowRequest) (*distributionpb.FollowReply, error) {
	reply, err := h.follow(ctx, req)
	if reply != nil {
		reply.Call = req.GetCall()
	}
	return reply, err
}

func (h *Server) follow(ctx context.Context, req *distributionpb.FollowRequest) (*distributionpb.FollowReply, error) {
	start := time.Now()
	m := memberOf(req.GetMember())
	if m.Node == "" || len(m.Node) > maxID || m.Incarnation == 0 {
		return nil, twirp.RequiredArgumentError("member")
	}
	if req.GetProbe() {
		return h.probed(start), nil
	}
	if !h.current() && !req.GetAcceptStale() {
		return &distributionpb.FollowReply{PaceMs: uint64(h.limits.LoadReportInterval / time.Millisecond)}, nil
	}
	f := h.begin(m, req)
	if f == nil {
		return nil, twirp.NewError(twirp.ResourceExhausted, "this keeper has too many followers: follow another")
	}
	defer h.end(f)
	wait := min(millis(req.GetWaitMs(), time.Minute), h.limits.LongPollTimeout)
	for {
		reply, news, committed, again := h.answer(ctx, f, req, start)
		left := wait - time.Since(start)
		if reply != nil || left <= 0 {
			if reply == nil {
				reply = h.compose(ctx, f, req, start)
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
			h.broke(f)
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

// maxFollowers bounds the proxies of one keeper.
const maxFollowers = 4096

// begin notes a call: the member, its acknowledgement, its loads, its verdicts. It gives nil where there are too many.
func (h *Server) begin(m Member, req *distributionpb.FollowRequest) *follower {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.followers[m.Node]
	fresh := f == nil || f.member.Incarnation != m.Incarnation
	if f == nil && len(h.followers) >= maxFollowers {
		return nil
	}
	if fresh {
		f = &follower{member: m}
		h.followers[m.Node] = f
	}
	f.seen, f.broken = now, time.Time{}
	f.open++
	if fresh || req.GetSeq() > f.seq {
		f.seq = max(f.seq, req.GetSeq())
		h.acknowledge()
	}
	f.loads.apply(now, req.GetLoads())
	if m.Revision >= f.member.Revision {
		f.member = m
	}
	h.assert(now, f.member)
	for _, v := range req.GetDown() {
		h.verdict(now, v.GetNode(), v.GetIncarnation())
	}
	return f
}

// broke notes that a held call's connection ended: a process that ends takes its connections with it.
func (h *Server) broke(f *follower) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f.broken = time.Now()
}

func (h *Server) end(f *follower) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f.open--
	f.seen = time.Now()
}

// acknowledge brings lowest up to date. The caller holds mu.
func (h *Server) acknowledge() {
	lowest := uint64(math.MaxUint64)
	for _, f := range h.followers {
		lowest = min(lowest, f.seq)
	}
	if lowest != h.lowest {
		h.lowest = lowest
		poke(h.share)
	}
	close(h.acked)
	h.acked = make(chan struct{})
}

// answer gives a reply if there is something that the request does not have. Otherwise it gives what to wait for, and
// after how long a report of loads is due.
func (h *Server) answer(ctx context.Context, f *follower, req *distributionpb.FollowRequest, start time.Time) (*distributionpb.FollowReply, <-chan struct{}, <-chan struct{}, time.Duration) {
	state, committed := h.opt.Source.Committed()
	current := h.current()
	digest := digestOf(h.opt.Source.Addresses())
	h.mu.Lock()
	news := h.news
	c := req.GetSoft()
	ready := !current && !req.GetAcceptStale() ||
		current && state != nil && state.Seq > req.GetSeq() ||
		c.GetBoot() != h.boot || h.keepersDigest(digest) != req.GetKeepers()
	var again time.Duration
	due := func(last time.Time, every time.Duration) {
		left := every - time.Since(last)
		if left <= 0 {
			ready = true
		} else if again == 0 || left < again {
			again = left
		}
	}
	if c.GetNumber() < h.table.lastUrgent {
		// A change that comes alone goes out at once, one close upon another waits for more.
		due(f.changed, h.pace()/2)
	}
	if !current && (again == 0 || recheck < again) {
		again = recheck // nothing tells that this keeper has become current
	}
	if t := req.GetTotals(); t.GetBoot() != h.totals.boot || t.GetNumber() != h.totals.number {
		due(f.reported, h.pace())
	}
	h.mu.Unlock()
	if ready {
		return h.compose(ctx, f, req, start), nil, nil, 0
	}
	return nil, news, committed, again
}

// compose makes the reply to a request that came at start, with all that it does not have.
func (h *Server) compose(ctx context.Context, f *follower, req *distributionpb.FollowRequest, start time.Time) *distributionpb.FollowReply {
	reply := &distributionpb.FollowReply{CheckedMs: uint64(time.Since(start) / time.Millisecond)}
	// First whether this keeper is current, then what it holds: what is acknowledged between is then in the reply.
	reply.Current = h.current()
	addresses := h.opt.Source.Addresses()
	digest := digestOf(addresses)
	if reply.Current {
		h.durable(ctx, reply, req.GetSeq())
	}
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	since := uint64(0)
	if req.GetSoft().GetBoot() == h.boot {
		since = req.GetSoft().GetNumber()
	}
	items, full := h.table.since(since)
	reply.Entries, reply.Full, reply.Complete = toWire(now, items), full, h.complete
	if len(items) > 0 {
		f.changed = now
	}
	reply.Soft = &distributionpb.Cursor{Boot: h.boot, Number: h.table.number}
	totals := h.totals.since(req.GetTotals().GetBoot(), req.GetTotals().GetNumber())
	if totals.From != totals.Number || req.GetTotals().GetBoot() != totals.Boot {
		reply.Totals = marshal(totals)
		f.reported = now
	}
	reply.TotalsOf = f.included
	reply.Told = &distributionpb.Cursor{Boot: f.loads.boot, Number: f.loads.number}
	if reply.KeepersDigest = h.keepersDigest(digest); reply.KeepersDigest != req.GetKeepers() {
		reply.Keepers = h.keepers(addresses)
	}
	reply.PaceMs = uint64(h.pace() / time.Millisecond)
	return reply
}

// keepers gives the keepers in the chain's order, with where they are as far as that has been heard.
func (h *Server) keepers(addresses []string) []*distributionpb.Keeper {
	out := make([]*distributionpb.Keeper, 0, len(addresses))
	for _, a := range addresses {
		switch p := h.peers[a]; {
		case a == h.opt.Self:
			out = append(out, &distributionpb.Keeper{Address: a, Zone: h.opt.Zone, Region: h.opt.Region})
		case p != nil:
			out = append(out, p.keeper)
		default:
			out = append(out, &distributionpb.Keeper{Address: a})
		}
	}
	return out
}

func digestOf(addresses []string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, a := range addresses {
		_, _ = d.WriteString(a)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// keepersDigest mixes into the digest of the addresses how many keepers are known by place.
func (h *Server) keepersDigest(digest uint64) uint64 { return digest + uint64(len(h.peers)) }

// assert writes that the process m lives and follows this hub. The caller holds mu.
func (h *Server) assert(now time.Time, m Member) {
	m.Owner, m.Down = h.opt.Self, false
	key := memberPrefix + m.Node
	e := Entry{Key: key, Fence: 1, Version: 1, Value: m.encode()}
	if held := h.table.items[key]; held != nil {
		was, ok := held.memberIn()
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
	h.merge(now, e, Age{})
}

// markDown writes that the process that the entry is about is silent. The caller holds mu.
func (h *Server) markDown(now time.Time, it *item, m Member, why string) {
	m.Down = true
	h.opt.Log.WithFields(logFields(m.Node, why)).Info("distribution: a proxy is marked down")
	h.merge(now, Entry{Key: it.Key, Fence: it.Fence, Version: it.Version + 1, Value: m.encode()}, Age{})
}

// verdict takes in what another proxy says of one: the keeper that it follows knows better, while that one is heard.
func (h *Server) verdict(now time.Time, node string, incarnation uint64) {
	it := h.table.items[memberPrefix+node]
	if it == nil || it.Deleted {
		return
	}
	m, ok := it.memberIn()
	if !ok || m.Down || m.Incarnation != incarnation {
		return
	}
	if f := h.followers[node]; f != nil && f.member.Incarnation == incarnation && (f.open > 0 || now.Sub(f.seen) < h.limits.SubscriberTimeout/2) {
		return
	}
	if m.Owner != h.opt.Self && h.hears(now, m.Owner) {
		return
	}
	h.markDown(now, it, m, "other proxies hear nothing from it")
}

// brokenLife is how long a proxy whose held call's connection ended may take to call again, here or at another keeper.
const brokenLife = 350 * time.Millisecond

// hears tells whether the keeper has shared of late, with this one or with another that has shared with this one: a keeper
// that only this one does not hear still judges its own followers. The caller holds mu.
func (h *Server) hears(now time.Time, keeper string) bool {
	for address, p := range h.peers {
		if now.Sub(p.heard) <= peerLife && (address == keeper || slices.Contains(p.hears, keeper) && !h.opt.hooks.ownEarsOnly) {
			return true
		}
	}
	return false
}

// judge drops followers that stopped calling, marks them down, deletes those down for long, and takes over the judging
// of those that followed a keeper which is not heard from. The caller holds mu.
func (h *Server) judge(now time.Time) {
	dropped := false
	ended := map[string]uint64{} // lives whose connection ended, and that have not come back
	for node, f := range h.followers {
		if f.open > 0 {
			continue
		}
		if !f.broken.IsZero() && now.Sub(f.broken) > brokenLife {
			ended[node] = f.member.Incarnation
		} else if now.Sub(f.seen) <= h.limits.SubscriberTimeout {
			continue
		}
		delete(h.followers, node)
		dropped = true
	}
	type fall struct {
		it  *item
		m   Member
		why string
	}
	var falls []fall
	var gone []*item
	for _, it := range h.table.live(memberPrefix) {
		m, ok := it.memberIn()
		f := h.followers[m.Node]
		switch {
		case !ok:
			gone = append(gone, it)
		case f != nil && f.member.Incarnation == m.Incarnation:
			if m.Owner != h.opt.Self {
				// It has moved: its loads and acknowledgements are told there.
				delete(h.followers, m.Node)
				dropped = true
			}
		case m.Down:
			if it.age(now).Max > h.limits.TombstoneTTL {
				gone = append(gone, it)
			}
		case m.Owner == h.opt.Self && ended[m.Node] == m.Incarnation:
			falls = append(falls, fall{it, m, "its connection ended"})
		case m.Owner == h.opt.Self:
			if it.age(now).Max > h.limits.SubscriberTimeout {
				falls = append(falls, fall{it, m, "it does not call any more"})
			}
		case !h.hears(now, m.Owner) && it.age(now).Max > orphanLife && now.Sub(h.started) > orphanLife && h.lost(now, m.Owner):
			falls = append(falls, fall{it, m, "the keeper that it followed is silent too"})
		}
	}
	if dropped {
		h.acknowledge()
	}
	for _, f := range falls {
		h.markDown(now, f.it, f.m, f.why)
	}
	for _, it := range gone {
		h.merge(now, Entry{Key: it.Key, Fence: it.Fence, Version: it.Version + 1, Deleted: true}, Age{})
	}
}

// lost tells whether a keeper has been silent for so long that its followers must have moved on.
func (h *Server) lost(now time.Time, keeper string) bool {
	p := h.peers[keeper]
	return p == nil || now.Sub(p.heard) > peerLife+orphanLife
}
