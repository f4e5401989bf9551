package distribution

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/twitchtv/twirp"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/rpc"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
)

const (
	// peerTTL is how long another keeper's word counts after it was last heard.
	peerTTL = 1500 * time.Millisecond
	// orphanTimeout is what the followers of a keeper that fell silent get to move on before they are marked down.
	orphanTimeout = 2500 * time.Millisecond
	// maxClockDriftMS is by how many milliseconds the clocks of two processes may drift apart between two shares. A time further
	// ahead is of a former life.
	maxClockDriftMS = 100
	// syncTimeout bounds a call between keepers.
	syncTimeout = time.Second
)

func downLogFields(node, why string) log.Fields { return log.Fields{"node": node, "why": why} }

// syncPeers keeps a loop for each of the other keepers until ctx ends.
func (h *Server) syncPeers(ctx context.Context) {
	if h.options.Peers == nil {
		return
	}
	type loop struct {
		stop context.CancelFunc
		poke chan struct{}
	}
	loops := map[string]loop{}
	var wg sync.WaitGroup
	defer wg.Wait()
	look := time.NewTicker(h.limits.MaxSyncInterval)
	defer look.Stop()
	for {
		wanted := map[string]bool{}
		for _, url := range h.options.Peers() {
			wanted[url] = true
			if _, ok := loops[url]; !ok {
				sub, stop := context.WithCancel(ctx)
				l := loop{stop, make(chan struct{}, 1)}
				loops[url] = l
				wg.Go(func() { h.syncWith(sub, url, l.poke) })
			}
		}
		for url, l := range loops {
			if !wanted[url] {
				l.stop()
				delete(loops, url)
			}
		}
		select {
		case <-ctx.Done():
			for _, l := range loops {
				l.stop()
			}
			return
		case <-look.C:
		case <-h.syncRequested:
			for _, l := range loops {
				signal(l.poke)
			}
		}
	}
}

// syncWith passes changes to one keeper: on change, at most every Share, at least every Beat.
func (h *Server) syncWith(ctx context.Context, url string, changed <-chan struct{}) {
	caller := &http.Client{Transport: rpc.BoundedTransport{Next: h.options.Transport}}
	client := distributionpb.NewDistributionProtobufClient(url, caller)
	var progress syncProgress
	reached := true
	for {
		req, number := h.buildShareRequest(&progress)
		call, cancel := context.WithTimeout(ctx, syncTimeout)
		req.Call = h.callIDs.Next()
		reply, err := client.Share(call, req)
		cancel()
		if err == nil {
			if err = rpc.CheckReply(req.GetCall(), reply.GetCall()); err != nil {
				caller.CloseIdleConnections()
			}
		}
		if ctx.Err() != nil {
			return
		}
		if (err == nil) != reached {
			reached = err == nil
			if reached {
				h.options.Log.WithField("keeper", url).Info("distribution: a keeper takes shares again")
			} else {
				h.options.Log.WithField("keeper", url).WithError(err).Warn("distribution: a keeper takes no shares")
			}
		}
		if err == nil && !progress.handleReply(time.Now(), req, number, reply) {
			continue // send it anew at once
		}
		if !sleep(ctx, h.limits.MinSyncInterval) {
			return
		}
		timer := time.NewTimer(h.limits.MaxSyncInterval - h.limits.MinSyncInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// syncProgress is how far a keeper has told another.
type syncProgress struct {
	cursor     distributionpb.Cursor // in the table of this boot id
	ackedLoads softstate.Cursor
	peerBootID uint64        // of the other
	peerClock  time.Duration // the other's, as it answered last; 0: it has not yet
	repliedAt  time.Time     // when that came
}

// handleReply takes in the answer to a share of the table up to a number. It tells false where the share is to be sent anew.
func (p *syncProgress) handleReply(now time.Time, req *distributionpb.ShareRequest, number uint64, reply *distributionpb.ShareReply) bool {
	p.peerClock, p.repliedAt = time.Duration(reply.GetClockMs())*time.Millisecond, now
	if reply.GetLate() {
		return false
	}
	if reply.GetBoot() != p.peerBootID {
		// Another life: what went to the former one is lost, unless this very share was whole.
		if p.peerBootID = reply.GetBoot(); !req.GetFull() {
			p.cursor.Boot, p.cursor.Number = 0, 0
			return false
		}
	}
	p.cursor.Boot, p.cursor.Number = req.GetBoot(), number
	p.ackedLoads = softstate.CursorFromProto(reply.GetTold())
	return true
}

// estimatedPeerClockMS is the least that the other's clock shows at a moment.
func (p *syncProgress) estimatedPeerClockMS(now time.Time) uint64 {
	if p.peerClock == 0 {
		return 0
	}
	return uint64((p.peerClock + now.Sub(p.repliedAt)) / time.Millisecond)
}

// clockMS is this process's time as others are told it: milliseconds from its start, and never 0.
func (h *Server) clockMS(now time.Time) uint64 {
	return uint64(now.Sub(h.startedAt)/time.Millisecond) + 1
}

func (h *Server) buildShareRequest(p *syncProgress) (*distributionpb.ShareRequest, uint64) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	since := uint64(0)
	if p.cursor.GetBoot() == h.bootID {
		since = p.cursor.GetNumber()
	}
	items, full := h.table.ChangesSince(since)
	return &distributionpb.ShareRequest{From: &distributionpb.Keeper{Address: h.options.Self, Zone: h.options.Zone, Region: h.options.Region}, Boot: h.bootID,
		Full: full, Complete: h.complete, Entries: softstate.EncodeEntries(now, items), Loads: h.localLoads.ChangesSince(p.ackedLoads),
		Lowest: h.minAckedSeq, Followers: uint64(len(h.subscribers)), Hears: h.recentPeers(now), SentMs: p.estimatedPeerClockMS(now)}, h.table.LastNumber
}

// Share serves another keeper's share.
func (h *Server) Share(_ context.Context, req *distributionpb.ShareRequest) (*distributionpb.ShareReply, error) {
	from := req.GetFrom().GetAddress()
	if from == "" || from == h.options.Self {
		return nil, twirp.InvalidArgumentError("from", "must be the address of another keeper")
	}
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	clock := h.clockMS(now)
	delay := softstate.BoundedMilliseconds(clock-min(clock, req.GetSentMs()), softstate.MaxAge)
	if h.options.Knobs.DateByArrival {
		delay = 0
	} else if req.GetSentMs() == 0 || req.GetSentMs() > clock+maxClockDriftMS || delay > peerTTL {
		return &distributionpb.ShareReply{Boot: h.bootID, ClockMs: clock, Late: true, Call: req.GetCall()}, nil
	}
	p := h.peers[from]
	if p == nil {
		if len(h.peers) >= maxPeers {
			h.removeExpiredPeers(now)
		}
		if len(h.peers) >= maxPeers {
			return nil, twirp.NewError(twirp.ResourceExhausted, "too many keepers share with this one: take some out of the view")
		}
		p = &peer{}
		h.peers[from] = p
		h.wakeSubscribers()
	}
	p.location, p.bootID, p.lastContact, p.minAckedSeq, p.subscriberCount = req.GetFrom(), req.GetBoot(), laterOf(p.lastContact, now.Add(-delay)), req.GetLowest(), req.GetFollowers()
	p.reachablePeers = req.GetHears()[:min(len(req.GetHears()), maxPeers)]
	before := h.listFence()
	for _, w := range req.GetEntries() {
		e, age := softstate.DecodeEntry(w)
		if e.Key != "" && len(e.Key) <= 2*softstate.MaxIDBytes {
			h.mergePeerEntry(now, from, e, age.Plus(softstate.AgeUpTo(delay)))
		}
	}
	if fence := h.listFence(); fence > before {
		h.deleteServersOfOldFences(now, fence)
	}
	if req.GetFull() && req.GetComplete() && !h.complete {
		h.markComplete()
	}
	p.loads.Apply(now.Add(-delay), req.GetLoads())
	close(h.ackChanged)
	h.ackChanged = make(chan struct{})
	return &distributionpb.ShareReply{Boot: h.bootID, ClockMs: clock, Call: req.GetCall(),
		Told: p.loads.Cursor.ToProto()}, nil
}

// mergePeerEntry takes in an entry that another keeper shares. One that was cut off has marked down what it no longer heard of,
// so whoever hears the proxy knows better: this keeper, or the one that the proxy follows. The caller holds mu.
func (h *Server) mergePeerEntry(now time.Time, from string, e softstate.Entry, age softstate.Age) {
	was, refuted := h.marksLiveMemberDown(e)
	if !refuted || h.options.Knobs.AcceptDownVerdicts {
		h.mergeEntry(now, e, age)
		return
	}
	if f := h.subscribers[was.Node]; f != nil && f.member.Incarnation == was.Incarnation && (f.openCalls > 0 || now.Sub(f.lastCall) < h.limits.SubscriberTimeout/2) {
		h.mergeEntry(now, e, age)
		h.assertAlive(now, f.member)
		return
	}
	if was.Owner == from || was.Owner == h.options.Self || !h.hasContact(now, was.Owner) {
		h.mergeEntry(now, e, age)
	}
}

// marksLiveMemberDown tells whether an entry marks down a process that counts as up here, and what is held of it.
func (h *Server) marksLiveMemberDown(e softstate.Entry) (was softstate.Member, ok bool) {
	held := h.table.Get(e.Key)
	if held == nil || held.Deleted || e.Deleted || !strings.HasPrefix(e.Key, softstate.MemberPrefix) {
		return softstate.Member{}, false
	}
	was, known := held.Member()
	told, read := softstate.DecodeMember(e.Value)
	return was, known && read && told.Down && !was.Down && told.Incarnation == was.Incarnation
}

// recentPeers gives the keepers that have shared of late, in order. The caller holds mu.
func (h *Server) recentPeers(now time.Time) []string {
	var out []string
	for address, p := range h.peers {
		if now.Sub(p.lastContact) <= peerTTL {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}

// maxPeers bounds the keepers remembered.
const maxPeers = 64

func (h *Server) removeExpiredPeers(now time.Time) {
	for a, p := range h.peers {
		if now.Sub(p.lastContact) > peerTTL+2*orphanTimeout {
			delete(h.peers, a)
		}
	}
}
