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
)

const (
	// peerLife is how long another keeper's word counts after it was last heard.
	peerLife = 1500 * time.Millisecond
	// orphanLife is what the followers of a keeper that fell silent get to move on before they are marked down.
	orphanLife = 2500 * time.Millisecond
	// clockSlack is by how many milliseconds the clocks of two processes may drift apart between two shares. A time further
	// ahead is of a former life.
	clockSlack = 100
	// shareTimeout bounds a call between keepers.
	shareTimeout = time.Second
)

func logFields(node, why string) log.Fields { return log.Fields{"node": node, "why": why} }

// shareAll keeps a loop for each of the other keepers until ctx ends.
func (h *Server) shareAll(ctx context.Context) {
	if h.opt.Peers == nil {
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
		for _, url := range h.opt.Peers() {
			wanted[url] = true
			if _, ok := loops[url]; !ok {
				sub, stop := context.WithCancel(ctx)
				l := loop{stop, make(chan struct{}, 1)}
				loops[url] = l
				wg.Go(func() { h.shareWith(sub, url, l.poke) })
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
		case <-h.share:
			for _, l := range loops {
				poke(l.poke)
			}
		}
	}
}

// shareWith passes changes to one keeper: on change, at most every Share, at least every Beat.
func (h *Server) shareWith(ctx context.Context, url string, changed <-chan struct{}) {
	caller := &http.Client{Transport: boundedTransport{h.opt.Transport}}
	client := distributionpb.NewDistributionProtobufClient(url, caller)
	var progress shareProgress
	reached := true
	for {
		req, number := h.shareRequest(&progress)
		call, cancel := context.WithTimeout(ctx, shareTimeout)
		req.Call = h.calls.next()
		reply, err := client.Share(call, req)
		cancel()
		if err == nil {
			if err = answers(req.GetCall(), reply.GetCall()); err != nil {
				caller.CloseIdleConnections()
			}
		}
		if ctx.Err() != nil {
			return
		}
		if (err == nil) != reached {
			reached = err == nil
			if reached {
				h.opt.Log.WithField("keeper", url).Info("distribution: a keeper takes shares again")
			} else {
				h.opt.Log.WithField("keeper", url).WithError(err).Warn("distribution: a keeper takes no shares")
			}
		}
		if err == nil && !progress.took(time.Now(), req, number, reply) {
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

// shareProgress is how far a keeper has told another.
type shareProgress struct {
	cursor, told distributionpb.Cursor // in the table of this boot, and in the loads
	boot         uint64                // of the other
	clock        time.Duration         // the other's, as it answered last; 0: it has not yet
	answered     time.Time             // when that came
}

// took takes in the answer to a share of the table up to a number. It tells false where the share is to be sent anew.
func (p *shareProgress) took(now time.Time, req *distributionpb.ShareRequest, number uint64, reply *distributionpb.ShareReply) bool {
	p.clock, p.answered = time.Duration(reply.GetClockMs())*time.Millisecond, now
	if reply.GetLate() {
		return false
	}
	if reply.GetBoot() != p.boot {
		// Another life: what went to the former one is lost, unless this very share was whole.
		if p.boot = reply.GetBoot(); !req.GetFull() {
			p.cursor.Boot, p.cursor.Number = 0, 0
			return false
		}
	}
	p.cursor.Boot, p.cursor.Number = req.GetBoot(), number
	p.told.Boot, p.told.Number = reply.GetTold().GetBoot(), reply.GetTold().GetNumber()
	return true
}

// sent is the least that the other's clock shows at a moment.
func (p *shareProgress) sent(now time.Time) uint64 {
	if p.clock == 0 {
		return 0
	}
	return uint64((p.clock + now.Sub(p.answered)) / time.Millisecond)
}

// clock is this process's time as others are told it: milliseconds from its start, and never 0.
func (h *Server) clock(now time.Time) uint64 { return uint64(now.Sub(h.started)/time.Millisecond) + 1 }

func (h *Server) shareRequest(p *shareProgress) (*distributionpb.ShareRequest, uint64) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	since := uint64(0)
	if p.cursor.GetBoot() == h.boot {
		since = p.cursor.GetNumber()
	}
	items, full := h.table.since(since)
	return &distributionpb.ShareRequest{From: &distributionpb.Keeper{Address: h.opt.Self, Zone: h.opt.Zone, Region: h.opt.Region}, Boot: h.boot,
		Full: full, Complete: h.complete, Entries: toWire(now, items), Loads: h.sums.since(p.told.GetBoot(), p.told.GetNumber()),
		Lowest: h.lowest, Followers: uint64(len(h.followers)), Hears: h.heard(now), SentMs: p.sent(now)}, h.table.number
}

// Share serves another keeper's share.
func (h *Server) Share(_ context.Context, req *distributionpb.ShareRequest) (*distributionpb.ShareReply, error) {
	from := req.GetFrom().GetAddress()
	if from == "" || from == h.opt.Self {
		return nil, twirp.InvalidArgumentError("from", "must be the address of another keeper")
	}
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	clock := h.clock(now)
	delay := millis(clock-min(clock, req.GetSentMs()), maxAge)
	if h.opt.hooks.fromArrival {
		delay = 0
	} else if req.GetSentMs() == 0 || req.GetSentMs() > clock+clockSlack || delay > peerLife {
		return &distributionpb.ShareReply{Boot: h.boot, ClockMs: clock, Late: true, Call: req.GetCall()}, nil
	}
	p := h.peers[from]
	if p == nil {
		if len(h.peers) >= maxPeers {
			h.dropPeers(now)
		}
		if len(h.peers) >= maxPeers {
			return nil, twirp.NewError(twirp.ResourceExhausted, "too many keepers share with this one: take some out of the view")
		}
		p = &peer{}
		h.peers[from] = p
		h.wake()
	}
	p.keeper, p.boot, p.heard, p.lowest, p.followers = req.GetFrom(), req.GetBoot(), later(p.heard, now.Add(-delay)), req.GetLowest(), req.GetFollowers()
	p.hears = req.GetHears()[:min(len(req.GetHears()), maxPeers)]
	before := h.listFence()
	for _, w := range req.GetEntries() {
		e, age := fromWire(w)
		if e.Key != "" && len(e.Key) <= 2*maxID {
			h.mergeShared(now, from, e, age.plus(upTo(delay)))
		}
	}
	if fence := h.listFence(); fence > before {
		h.dropFormerReader(now, fence)
	}
	if req.GetFull() && req.GetComplete() && !h.complete {
		h.markComplete()
	}
	p.loads.apply(now.Add(-delay), req.GetLoads())
	close(h.acked)
	h.acked = make(chan struct{})
	return &distributionpb.ShareReply{Boot: h.boot, ClockMs: clock, Call: req.GetCall(),
		Told: &distributionpb.Cursor{Boot: p.loads.boot, Number: p.loads.number}}, nil
}

// mergeShared takes in an entry that another keeper shares. One that was cut off has marked down what it no longer heard of,
// so whoever hears the proxy knows better: this keeper, or the one that the proxy follows. The caller holds mu.
func (h *Server) mergeShared(now time.Time, from string, e Entry, age Age) {
	was, refuted := h.marksDown(e)
	if !refuted || h.opt.hooks.believeDown {
		h.merge(now, e, age)
		return
	}
	if f := h.followers[was.Node]; f != nil && f.member.Incarnation == was.Incarnation && (f.open > 0 || now.Sub(f.seen) < h.limits.SubscriberTimeout/2) {
		h.merge(now, e, age)
		h.assert(now, f.member)
		return
	}
	if was.Owner == from || was.Owner == h.opt.Self || !h.hears(now, was.Owner) {
		h.merge(now, e, age)
	}
}

// marksDown tells whether an entry marks down a process that counts as up here, and what is held of it.
func (h *Server) marksDown(e Entry) (was Member, ok bool) {
	held := h.table.items[e.Key]
	if held == nil || held.Deleted || e.Deleted || !strings.HasPrefix(e.Key, memberPrefix) {
		return Member{}, false
	}
	was, known := held.memberIn()
	told, read := decodeMember(e.Value)
	return was, known && read && told.Down && !was.Down && told.Incarnation == was.Incarnation
}

// heard gives the keepers that have shared of late, in order. The caller holds mu.
func (h *Server) heard(now time.Time) []string {
	var out []string
	for address, p := range h.peers {
		if now.Sub(p.heard) <= peerLife {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}

// maxPeers bounds the keepers remembered.
const maxPeers = 64

func (h *Server) dropPeers(now time.Time) {
	for a, p := range h.peers {
		if now.Sub(p.heard) > peerLife+2*orphanLife {
			delete(h.peers, a)
		}
	}
}
