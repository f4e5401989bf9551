package distribution

import (
	"context"
	"math/rand/v2"
	"net"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
)

const (
	replyIdleTimeout    = 400 * time.Millisecond  // beyond the wait of a poll, until another keeper is taken
	probeTimeout        = 1200 * time.Millisecond // of one try while several are made at once
	probeInterval       = 50 * time.Millisecond   // between the tries
	minSearchBackoff    = 20 * time.Millisecond   // after the keepers were tried in vain, for the first time
	maxSearchBackoff    = 200 * time.Millisecond  // and for as long as that lasts
	maxConcurrentProbes = 16                      // tries under way: as many as there may be keepers, and some seeds that are none
	failurePenalty      = 2 * time.Second         // a keeper that just failed comes last
	returnInterval      = 5 * time.Second         // until a nearer keeper is tried again
	behindRetryInterval = 100 * time.Millisecond  // until a keeper is asked again whose answer did not help
	maxStaleDuration    = time.Second             // with a keeper that is not current, until a current one is sought again
	neighbourQueryDelay = 1500 * time.Millisecond // without a keeper, until neighbours are asked
)

// controlPlaneNode is a keeper known, or a seed that may be one.
type controlPlaneNode struct {
	address, zone, region string
	seed, inView          bool // told in the settings; told by a keeper or a neighbour
	tried                 bool // a call has ended since the start, whatever came of it
	failedAt              time.Time
}

func (f *Subscriber) baseURL(address string, port int) string {
	if _, _, err := net.SplitHostPort(address); err == nil {
		return "http://" + address
	}
	return "http://" + net.JoinHostPort(address, strconv.Itoa(port))
}

// replaceNodes makes the keepers told the ones known. The caller holds mu.
func (f *Subscriber) replaceNodes(told []*distributionpb.Keeper) {
	for a, k := range f.nodes {
		if k.inView = false; !k.seed {
			delete(f.nodes, a)
		}
	}
	for i, w := range told {
		if i == maxPeers {
			break
		}
		k := f.nodes[w.GetAddress()]
		if k == nil {
			k = &controlPlaneNode{address: w.GetAddress()}
			f.nodes[k.address] = k
		}
		k.zone, k.region, k.inView = w.GetZone(), w.GetRegion(), true
	}
}

// errReferred is given by a call to a keeper that feeds no proxies and has named those that do.
var errReferred = errors.New("distribution: this keeper feeds no proxies; the ones that it names are tried")

// learnNodes adds the keepers that an observer names. Those known already stay as they are: one that feeds knows better.
func (f *Subscriber) learnNodes(told []*distributionpb.Keeper) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addNodes(told)
}

// addNodes adds the keepers that an observer or a neighbour names. The caller holds mu.
func (f *Subscriber) addNodes(told []*distributionpb.Keeper) {
	for i, w := range told {
		k := f.nodes[w.GetAddress()]
		if i >= maxPeers || k != nil && k.inView || k == nil && len(f.nodes) >= 2*maxPeers {
			continue
		}
		named := &controlPlaneNode{address: w.GetAddress(), zone: w.GetZone(), region: w.GetRegion(), inView: true}
		if k != nil {
			named.seed, named.tried = k.seed, k.tried
		}
		f.nodes[w.GetAddress()] = named
	}
}

// distance ranks a keeper: those of the view before mere seeds, then the nearer. The caller holds mu.
func (f *Subscriber) distance(k *controlPlaneNode) int {
	switch {
	case !k.inView:
		return 3
	case k.zone != "" && k.zone == f.self.Zone:
		return 0
	case k.region != "" && k.region == f.self.Region:
		return 1
	}
	return 2
}

// rankedNodes gives the keepers to try, best first: near before far, and among equals by rendezvous, so that the proxies
// spread evenly. Those that just failed come last.
func (f *Subscriber) rankedNodes(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	type candidate struct {
		address  string
		failed   bool
		distance int
		weight   uint64
	}
	var all []candidate
	for _, k := range f.nodes {
		all = append(all, candidate{k.address, !k.failedAt.IsZero() && now.Sub(k.failedAt) < failurePenalty, f.distance(k),
			xxhash.Sum64String(f.self.Node + "\x00" + k.address)})
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i], all[j]
		switch {
		case a.failed != b.failed:
			return b.failed
		case a.distance != b.distance:
			return a.distance < b.distance
		case a.weight != b.weight:
			return a.weight > b.weight
		}
		return a.address < b.address
	})
	out := make([]string, len(all))
	for i, c := range all {
		out[i] = c.address
	}
	return out
}

// nearerNode gives a keeper that is nearerNode than the one followed and has not failed of late; "": there is none.
func (f *Subscriber) nearerNode(now time.Time, current string) string {
	best := f.rankedNodes(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(best) == 0 || best[0] == current {
		return ""
	}
	k, c := f.nodes[best[0]], f.nodes[current]
	if k == nil || c == nil || f.distance(k) >= f.distance(c) || !k.failedAt.IsZero() && now.Sub(k.failedAt) < returnInterval {
		return ""
	}
	return best[0]
}

func (f *Subscriber) recordFailure(now time.Time, keeper string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k := f.nodes[keeper]; k != nil {
		k.failedAt = now
	}
}

// recordAttempt notes that a keeper has had its chance since the start.
func (f *Subscriber) recordAttempt(keeper string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k := f.nodes[keeper]; k != nil {
		k.tried = true
	}
}

// allNodesTried tells whether every keeper that is known has had its chance since the start. The caller holds mu.
func (f *Subscriber) allNodesTried() bool {
	for _, k := range f.nodes {
		if !k.tried {
			return false
		}
	}
	return true
}

func (f *Subscriber) setServingNode(keeper string, stale bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.servingNode, f.servingNodeStale = keeper, stale
}

// pollLoop holds a poll at one keeper, and finds another where that one fails.
func (f *Subscriber) pollLoop(ctx context.Context) {
	pause := minSearchBackoff
	for ctx.Err() == nil {
		if f.followOneNode(ctx) {
			pause = minSearchBackoff
			continue
		}
		if !sleep(ctx, pause/2+rand.N(pause)) {
			return
		}
		pause = min(2*pause, maxSearchBackoff)
	}
}

// followOneNode finds a keeper and follows it until it fails. It tells whether that one answered any poll.
func (f *Subscriber) followOneNode(ctx context.Context) (served bool) {
	keeper, current := f.findNode(ctx)
	if keeper == "" {
		return false
	}
	f.setServingNode(keeper, !current)
	f.options.Log.WithField("keeper", keeper).WithField("current", current).Info("distribution: following a keeper")
	defer f.setServingNode("", false)
	return f.pollNode(ctx, keeper, current)
}

// pollNode polls the keeper until it fails or is not current, or, with one that never was, for a while. It tells whether any
// poll was answered.
func (f *Subscriber) pollNode(ctx context.Context, keeper string, current bool) (served bool) {
	began := time.Now()
	// The first look for a nearer one is early: at the start only seeds were known.
	look := began.Add(300*time.Millisecond + rand.N(200*time.Millisecond))
	for {
		start := time.Now()
		if !current && start.Sub(began) > maxStaleDuration {
			return served
		}
		if current && start.After(look) {
			look = start.Add(returnInterval/2 + rand.N(returnInterval/2))
			if better := f.nearerNode(start, keeper); better != "" {
				if a, err := f.call(ctx, better, 0, probeTimeout, false); err == nil && a.current {
					keeper = better
					f.setServingNode(keeper, false)
					continue
				}
				f.recordFailure(time.Now(), better)
			}
		}
		a, err := f.call(ctx, keeper, f.options.LongPollTimeout, replyIdleTimeout, !current)
		if ctx.Err() != nil {
			return served
		}
		if err != nil || current && !a.current || !a.serves {
			f.recordFailure(time.Now(), keeper)
			f.options.Log.WithField("keeper", keeper).WithError(err).Info("distribution: the keeper is silent, or not current")
			return served
		}
		served, current = true, a.current
		if a.stillBehind && !sleep(ctx, behindRetryInterval) {
			return served
		}
		if gap := f.loadReportWait()/4 - time.Since(start); gap > 0 && !a.stateAdvanced && !sleep(ctx, gap) {
			return served
		}
	}
}

// findNode tries the keepers, best first and one each 50 ms, until one that is current has answered. Where none is, it gives
// one that answered at all.
func (f *Subscriber) findNode(ctx context.Context) (keeper string, current bool) {
	ctx, cancel := context.WithCancel(ctx)
	type result struct {
		keeper  string
		current bool
		err     error
	}
	list := f.rankedNodes(time.Now())
	results := make(chan result, len(list))
	open, next := 0, 0
	defer func() {
		cancel()
		for ; open > 0; open-- {
			<-results
		}
	}()
	try := func() {
		k := list[next]
		next++
		open++
		go func() {
			current, err := f.probeNode(ctx, k)
			results <- result{k, current, err}
		}()
	}
	f.mu.Lock()
	atOnce := f.lastContact.IsZero() // a start is not to wait for a dead seed
	f.mu.Unlock()
	if len(list) > 0 {
		try()
		if atOnce && len(list) > 1 {
			try()
		}
	}
	stale := ""
	for open > 0 {
		timer := time.NewTimer(probeInterval)
		select {
		case r := <-results:
			open--
			f.recordAttempt(r.keeper)
			switch {
			case r.err == nil && r.current:
				timer.Stop()
				return r.keeper, true
			case r.err == nil:
				if stale == "" {
					stale = r.keeper
				}
			case ctx.Err() == nil:
				f.recordFailure(time.Now(), r.keeper)
			}
			if next < len(list) {
				try()
			}
		case <-timer.C:
			if next < len(list) && open < maxConcurrentProbes {
				try()
			}
		}
		timer.Stop()
	}
	return stale, false
}
