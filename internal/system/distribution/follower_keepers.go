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
	silence       = 400 * time.Millisecond  // beyond the wait of a poll, until another keeper is taken
	seekTimeout   = 1200 * time.Millisecond // of one try while several are made at once
	seekStagger   = 50 * time.Millisecond   // between the tries
	seekPause     = 20 * time.Millisecond   // after the keepers were tried in vain, for the first time
	seekPauseMost = 200 * time.Millisecond  // and for as long as that lasts
	seekAtOnce    = 16                      // tries under way: as many as there may be keepers, and some seeds that are none
	avoidFor      = 2 * time.Second         // a keeper that just failed comes last
	returnAfter   = 5 * time.Second         // until a nearer keeper is tried again
	behindPause   = 100 * time.Millisecond  // until a keeper is asked again whose answer did not help
	staleRounds   = time.Second             // with a keeper that is not current, until a current one is sought again
	neighbourLag  = 1500 * time.Millisecond // without a keeper, until neighbours are asked
)

// keeperInfo is a keeper known, or a seed that may be one.
type keeperInfo struct {
	address, zone, region string
	seed, view            bool // told in the settings; told by a keeper or a neighbour
	tried                 bool // a call has ended since the start, whatever came of it
	failed                time.Time
}

func (f *Subscriber) url(address string, port int) string {
	if _, _, err := net.SplitHostPort(address); err == nil {
		return "http://" + address
	}
	return "http://" + net.JoinHostPort(address, strconv.Itoa(port))
}

// takeKeepers makes the keepers told the ones known. The caller holds mu.
func (f *Subscriber) takeKeepers(told []*distributionpb.Keeper) {
	for a, k := range f.keepers {
		if k.view = false; !k.seed {
			delete(f.keepers, a)
		}
	}
	for i, w := range told {
		if i == maxPeers {
			break
		}
		k := f.keepers[w.GetAddress()]
		if k == nil {
			k = &keeperInfo{address: w.GetAddress()}
			f.keepers[k.address] = k
		}
		k.zone, k.region, k.view = w.GetZone(), w.GetRegion(), true
	}
}

// errReferred is given by a call to a keeper that feeds no proxies and has named those that do.
var errReferred = errors.New("distribution: this keeper feeds no proxies; the ones that it names are tried")

// learnKeepers adds the keepers that an observer names. Those known already stay as they are: one that feeds knows better.
func (f *Subscriber) learnKeepers(told []*distributionpb.Keeper) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addKeepers(told)
}

// addKeepers adds the keepers that an observer or a neighbour names. The caller holds mu.
func (f *Subscriber) addKeepers(told []*distributionpb.Keeper) {
	for i, w := range told {
		k := f.keepers[w.GetAddress()]
		if i >= maxPeers || k != nil && k.view || k == nil && len(f.keepers) >= 2*maxPeers {
			continue
		}
		named := &keeperInfo{address: w.GetAddress(), zone: w.GetZone(), region: w.GetRegion(), view: true}
		if k != nil {
			named.seed, named.tried = k.seed, k.tried
		}
		f.keepers[w.GetAddress()] = named
	}
}

// distance ranks a keeper: those of the view before mere seeds, then the nearer. The caller holds mu.
func (f *Subscriber) distance(k *keeperInfo) int {
	switch {
	case !k.view:
		return 3
	case k.zone != "" && k.zone == f.self.Zone:
		return 0
	case k.region != "" && k.region == f.self.Region:
		return 1
	}
	return 2
}

// ranked gives the keepers to try, best first: near before far, and among equals by rendezvous, so that the proxies
// spread evenly. Those that just failed come last.
func (f *Subscriber) ranked(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	type candidate struct {
		address  string
		failed   bool
		distance int
		weight   uint64
	}
	var all []candidate
	for _, k := range f.keepers {
		all = append(all, candidate{k.address, !k.failed.IsZero() && now.Sub(k.failed) < avoidFor, f.distance(k),
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

// nearer gives a keeper that is nearer than the one followed and has not failed of late; "": there is none.
func (f *Subscriber) nearer(now time.Time, current string) string {
	best := f.ranked(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(best) == 0 || best[0] == current {
		return ""
	}
	k, c := f.keepers[best[0]], f.keepers[current]
	if k == nil || c == nil || f.distance(k) >= f.distance(c) || !k.failed.IsZero() && now.Sub(k.failed) < returnAfter {
		return ""
	}
	return best[0]
}

func (f *Subscriber) fail(now time.Time, keeper string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k := f.keepers[keeper]; k != nil {
		k.failed = now
	}
}

// tried notes that a keeper has had its chance since the start.
func (f *Subscriber) tried(keeper string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k := f.keepers[keeper]; k != nil {
		k.tried = true
	}
}

// allTried tells whether every keeper that is known has had its chance since the start. The caller holds mu.
func (f *Subscriber) allTried() bool {
	for _, k := range f.keepers {
		if !k.tried {
			return false
		}
	}
	return true
}

func (f *Subscriber) settleOn(keeper string, stale bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current, f.stale = keeper, stale
}

// follow holds a poll at one keeper, and finds another where that one fails.
func (f *Subscriber) follow(ctx context.Context) {
	pause := seekPause
	for ctx.Err() == nil {
		if f.followOne(ctx) {
			pause = seekPause
			continue
		}
		if !sleep(ctx, pause/2+rand.N(pause)) {
			return
		}
		pause = min(2*pause, seekPauseMost)
	}
}

// followOne finds a keeper and follows it until it fails. It tells whether that one answered any poll.
func (f *Subscriber) followOne(ctx context.Context) (served bool) {
	keeper, current := f.seek(ctx)
	if keeper == "" {
		return false
	}
	f.settleOn(keeper, !current)
	f.opt.Log.WithField("keeper", keeper).WithField("current", current).Info("distribution: following a keeper")
	defer f.settleOn("", false)
	return f.stay(ctx, keeper, current)
}

// stay polls the keeper until it fails or is not current, or, with one that never was, for a while. It tells whether any
// poll was answered.
func (f *Subscriber) stay(ctx context.Context, keeper string, current bool) (served bool) {
	began := time.Now()
	// The first look for a nearer one is early: at the start only seeds were known.
	look := began.Add(300*time.Millisecond + rand.N(200*time.Millisecond))
	for {
		start := time.Now()
		if !current && start.Sub(began) > staleRounds {
			return served
		}
		if current && start.After(look) {
			look = start.Add(returnAfter/2 + rand.N(returnAfter/2))
			if better := f.nearer(start, keeper); better != "" {
				if a, err := f.call(ctx, better, 0, seekTimeout, false); err == nil && a.current {
					keeper = better
					f.settleOn(keeper, false)
					continue
				}
				f.fail(time.Now(), better)
			}
		}
		a, err := f.call(ctx, keeper, f.opt.LongPollTimeout, silence, !current)
		if ctx.Err() != nil {
			return served
		}
		if err != nil || current && !a.current || !a.feeds {
			f.fail(time.Now(), keeper)
			f.opt.Log.WithField("keeper", keeper).WithError(err).Info("distribution: the keeper is silent, or not current")
			return served
		}
		served, current = true, a.current
		if a.behind && !sleep(ctx, behindPause) {
			return served
		}
		if gap := f.loadWait()/4 - time.Since(start); gap > 0 && !a.durable && !sleep(ctx, gap) {
			return served
		}
	}
}

// seek tries the keepers, best first and one each 50 ms, until one that is current has answered. Where none is, it gives
// one that answered at all.
func (f *Subscriber) seek(ctx context.Context) (keeper string, current bool) {
	ctx, cancel := context.WithCancel(ctx)
	type result struct {
		keeper  string
		current bool
		err     error
	}
	list := f.ranked(time.Now())
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
			current, err := f.probe(ctx, k)
			results <- result{k, current, err}
		}()
	}
	f.mu.Lock()
	atOnce := f.heard.IsZero() // a start is not to wait for a dead seed
	f.mu.Unlock()
	if len(list) > 0 {
		try()
		if atOnce && len(list) > 1 {
			try()
		}
	}
	stale := ""
	for open > 0 {
		timer := time.NewTimer(seekStagger)
		select {
		case r := <-results:
			open--
			f.tried(r.keeper)
			switch {
			case r.err == nil && r.current:
				timer.Stop()
				return r.keeper, true
			case r.err == nil:
				if stale == "" {
					stale = r.keeper
				}
			case ctx.Err() == nil:
				f.fail(time.Now(), r.keeper)
			}
			if next < len(list) {
				try()
			}
		case <-timer.C:
			if next < len(list) && open < seekAtOnce {
				try()
			}
		}
		timer.Stop()
	}
	return stale, false
}
