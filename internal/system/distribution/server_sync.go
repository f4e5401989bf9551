package distribution

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/rpc"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
)

const (
	// maxClockDriftMS is by how many milliseconds the clocks of two processes may drift apart between two calls. A time that is further
	// ahead belongs to a former incarnation.
	maxClockDriftMS = 100
	// syncTimeout bounds a call between peers.
	syncTimeout = time.Second
	// maxKeyBytes bounds the key of an entry.
	maxKeyBytes = 2 * softstate.MaxIDBytes
)

// syncLoop is the goroutine that synchronises with one peer.
type syncLoop struct {
	stop    context.CancelFunc
	changed chan struct{}
}

// syncPeers runs one synchronisation loop per peer until ctx ends.
func (s *Server) syncPeers(ctx context.Context) {
	if s.options.Peers == nil {
		return
	}
	loops := map[string]syncLoop{}
	var wg sync.WaitGroup
	defer wg.Wait()
	refresh := time.NewTicker(s.limits.MaxSyncInterval)
	defer refresh.Stop()
	for {
		s.updateSyncLoops(ctx, &wg, loops)
		select {
		case <-ctx.Done():
			for _, loop := range loops {
				loop.stop()
			}
			return
		case <-refresh.C:
		case <-s.syncRequested:
			for _, loop := range loops {
				signal(loop.changed)
			}
		}
	}
}

// updateSyncLoops starts loops for new peers, and stops those of removed peers.
func (s *Server) updateSyncLoops(ctx context.Context, wg *sync.WaitGroup, loops map[string]syncLoop) {
	peers := map[string]bool{}
	for _, url := range s.options.Peers() {
		peers[url] = true
		if _, ok := loops[url]; ok {
			continue
		}
		loopCtx, stop := context.WithCancel(ctx)
		loop := syncLoop{stop: stop, changed: make(chan struct{}, 1)}
		loops[url] = loop
		wg.Go(func() { s.syncWith(loopCtx, url, loop.changed) })
	}
	for url, loop := range loops {
		if !peers[url] {
			loop.stop()
			delete(loops, url)
		}
	}
}

// syncWith sends changes to one peer: when there are changes at most every MinSyncInterval, otherwise at least every MaxSyncInterval.
func (s *Server) syncWith(ctx context.Context, url string, changed <-chan struct{}) {
	caller := &http.Client{Transport: rpc.BoundedTransport{Next: s.options.Transport}}
	client := distributionpb.NewDistributionProtobufClient(url, caller)
	var progress syncProgress
	reached := true
	for {
		req, number := s.buildShareRequest(&progress)
		reply, err := s.share(ctx, client, req)
		if err != nil && errors.Is(err, rpc.ErrMismatchedReply) {
			caller.CloseIdleConnections()
		}
		if ctx.Err() != nil {
			return
		}
		if (err == nil) != reached {
			reached = err == nil
			s.logReachability(url, err)
		}
		if err == nil && !progress.handleReply(time.Now(), req, number, reply) {
			continue // send it again immediately
		}
		if !s.awaitSync(ctx, changed) {
			return
		}
	}
}

// share makes one call to a peer.
func (s *Server) share(ctx context.Context, client distributionpb.Distribution, req *distributionpb.ShareRequest) (*distributionpb.ShareReply, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	req.Call = s.callIDs.Next()
	reply, err := client.Share(ctx, req)
	if err != nil {
		return nil, err
	}
	return reply, rpc.CheckReply(req.GetCall(), reply.GetCall())
}

// logReachability logs that a peer is reached again, or why it is no longer reached.
func (s *Server) logReachability(url string, err error) {
	if err == nil {
		s.options.Log.WithField("peer", url).Info("distribution: synchronisation with a peer resumed")
	} else {
		s.options.Log.WithField("peer", url).WithError(err).Warn("distribution: synchronisation with a peer fails")
	}
}

// awaitSync waits until the next call to a peer is due. It returns false if ctx ended.
func (s *Server) awaitSync(ctx context.Context, changed <-chan struct{}) bool {
	if !sleep(ctx, s.limits.MinSyncInterval) {
		return false
	}
	timer := time.NewTimer(s.limits.MaxSyncInterval - s.limits.MinSyncInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

// syncProgress tracks how far a peer has been brought up to date.
type syncProgress struct {
	cursor     softstate.Cursor // in this node's table
	ackedLoads softstate.Cursor // in this node's loads
	peerBootID uint64
	peerClock  time.Duration // the peer's clock in its last reply; 0: it has not replied yet
	repliedAt  time.Time     // when that reply was received
}

// handleReply processes the reply to a request that brought the peer up to the change number. It returns false if the request has to be
// sent again.
func (p *syncProgress) handleReply(now time.Time, req *distributionpb.ShareRequest, number uint64, reply *distributionpb.ShareReply) bool {
	p.peerClock, p.repliedAt = time.Duration(reply.GetClockMs())*time.Millisecond, now
	if reply.GetLate() {
		return false
	}
	if reply.GetBoot() != p.peerBootID {
		// Another incarnation of the peer: what was sent to the former one is lost, unless this request carried the complete table.
		p.peerBootID = reply.GetBoot()
		if !req.GetFull() {
			p.cursor = softstate.Cursor{}
			return false
		}
	}
	p.cursor = softstate.Cursor{BootID: req.GetBoot(), Number: number}
	p.ackedLoads = softstate.CursorFromProto(reply.GetTold())
	return true
}

// estimatedPeerClockMS returns a lower bound of the peer's clock at now, in milliseconds; 0: it is not known.
func (p *syncProgress) estimatedPeerClockMS(now time.Time) uint64 {
	if p.peerClock == 0 {
		return 0
	}
	return uint64((p.peerClock + now.Sub(p.repliedAt)) / time.Millisecond)
}

// clockMS returns this process's clock as sent to peers: milliseconds since its start, and never 0.
func (s *Server) clockMS(now time.Time) uint64 {
	return uint64(now.Sub(s.startedAt)/time.Millisecond) + 1
}

// buildShareRequest builds the request that brings a peer up to date, and returns the number of the last change that it includes.
func (s *Server) buildShareRequest(p *syncProgress) (*distributionpb.ShareRequest, uint64) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	entries, full := s.table.ChangesSince(s.changeNumberOf(p.cursor))
	return &distributionpb.ShareRequest{
		From: s.location(), Boot: s.bootID, Full: full, Complete: s.tableComplete, Entries: softstate.EncodeEntries(now, entries),
		Loads: s.loads.local.ChangesSince(p.ackedLoads), Lowest: s.sessions.minAckedSeq, Followers: uint64(len(s.sessions.byNode)),
		Hears: s.peers.recent(now), SentMs: p.estimatedPeerClockMS(now),
	}, s.table.LastNumber
}

// Share handles a peer's synchronisation request.
func (s *Server) Share(_ context.Context, req *distributionpb.ShareRequest) (*distributionpb.ShareReply, error) {
	from := req.GetFrom().GetAddress()
	if from == "" || from == s.options.Self {
		return nil, twirp.InvalidArgumentError("from", "must be the address of another control-plane node")
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	clock := s.clockMS(now)
	delay, known := s.transitTime(clock, req.GetSentMs())
	if !known {
		return &distributionpb.ShareReply{Boot: s.bootID, ClockMs: clock, Late: true, Call: req.GetCall()}, nil
	}
	sender := s.peers.byAddress[from]
	if sender == nil {
		if sender = s.peers.add(now, from); sender == nil {
			return nil, twirp.NewError(twirp.ResourceExhausted, "too many nodes synchronise with this one: take some out of the view")
		}
		s.wakeSubscribers()
	}
	sender.observe(now.Add(-delay), req)
	s.mergeShare(now, from, delay, req)
	sender.loads.Apply(now.Add(-delay), req.GetLoads())
	s.sessions.notifyAcked()
	return &distributionpb.ShareReply{Boot: s.bootID, ClockMs: clock, Call: req.GetCall(), Told: sender.loads.ToProto()}, nil
}

// transitTime bounds how long a message was in transit, by this process's clock alone: the sender states a lower bound of that clock at
// the moment of sending. It returns false if the bound is missing, belongs to a former incarnation, or is too old.
func (s *Server) transitTime(clock, sentMS uint64) (delay time.Duration, known bool) {
	if s.options.knobs.DateByArrival {
		return 0, true
	}
	delay = softstate.BoundedMilliseconds(clock-min(clock, sentMS), softstate.MaxAge)
	return delay, sentMS != 0 && sentMS <= clock+maxClockDriftMS && delay <= peerTTL
}

// mergeShare merges the entries of a peer's message that was in transit for up to delay. The caller holds mu.
func (s *Server) mergeShare(now time.Time, from string, delay time.Duration, req *distributionpb.ShareRequest) {
	formerFence := s.listFence()
	for _, message := range req.GetEntries() {
		entry, age := softstate.DecodeEntry(message)
		if entry.Key != "" && len(entry.Key) <= maxKeyBytes {
			s.mergePeerEntry(now, from, entry, age.Plus(softstate.AgeUpTo(delay)))
		}
	}
	if fence := s.listFence(); fence > formerFence {
		s.deleteServersOfOldFences(now, fence)
	}
	if req.GetFull() && req.GetComplete() && !s.tableComplete {
		s.markComplete()
	}
}

// mergePeerEntry merges an entry of a peer. A peer that was isolated may have marked down proxies that only it had no contact to, so a
// node that is in contact with the proxy overrules it: this node, or the one that the proxy follows. The caller holds mu.
func (s *Server) mergePeerEntry(now time.Time, from string, entry softstate.Entry, age softstate.Age) {
	live, marksDown := s.marksLiveMemberDown(entry)
	if !marksDown || s.options.knobs.AcceptDownEntries {
		s.mergeEntry(now, entry, age)
		return
	}
	if s.hasLiveSession(now, live.Node, live.Incarnation) {
		s.mergeEntry(now, entry, age)
		s.assertAlive(now, s.sessions.get(live).member)
		return
	}
	if live.Owner == from || live.Owner == s.options.Self || !s.peers.hasContact(now, live.Owner) {
		s.mergeEntry(now, entry, age)
	}
}

// marksLiveMemberDown reports whether an entry marks down a process that is up in this table, and returns the stored member. The caller
// holds mu.
func (s *Server) marksLiveMemberDown(entry softstate.Entry) (live softstate.Member, marksDown bool) {
	stored := s.table.Get(entry.Key)
	if stored == nil || stored.Deleted || entry.Deleted || !strings.HasPrefix(entry.Key, softstate.MemberPrefix) {
		return softstate.Member{}, false
	}
	live, known := stored.Member()
	next, ok := softstate.DecodeMember(entry.Value)
	return live, known && ok && next.Down && !live.Down && next.Incarnation == live.Incarnation
}
