package hitters

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Here is what is counted and added up. What it is taken for is decided in judge.go.

// OriginReport is a report as it comes from the members, this sidecar included.
type OriginReport struct {
	Origin uint64 // Key of its name
	Start  int64  // of its process: a later process has a higher one
	Seq    uint64 // rises within a process
	Age    time.Duration
	Report Report
}

// storedReport is an origin's latest report.
type storedReport struct {
	origin uint64
	start  int64
	seq    uint64
	madeAt Time // when it was made
	Report
}

// window is what a sidecar counted in a stretch of time.
type window struct {
	Summary
	served    uint64 // of its total
	requests  uint64
	startedAt Time
	length    time.Duration
}

// Observe takes in what a request of a client took, or would have taken, and whether it was served. Danger: if what is
// refused did not count, a flood that gives way would pass for gone, and be let in again.
func (j *Detector) Observe(key uint64, work time.Duration, served bool) {
	us := uint64(min(max(work, 0), maxRequestWork) / time.Microsecond)
	j.current.Add(key, us)
	j.current.requests++
	if served {
		j.current.served += us
	}
}

// Receive takes in what an origin told, and returns whether it is news: the latest of it, and not older than the bound.
// What others say in this sidecar's name is none.
//
// Danger: a word that was dropped for its age must not come back as an older one. It cannot: that is older still.
func (j *Detector) Receive(now Time, n OriginReport) bool {
	return n.Origin != j.settings.Origin && n.Age >= 0 && n.Age <= j.settings.ReportTTL && j.store(now, n)
}

// store has a word be its origin's, unless it holds a later one.
func (j *Detector) store(now Time, n OriginReport) bool {
	i, held := slices.BinarySearchFunc(j.reports, n.Origin, func(w *storedReport, o uint64) int { return cmp.Compare(w.origin, o) })
	switch {
	case held:
		w := j.reports[i]
		if cmp.Or(cmp.Compare(n.Start, w.start), cmp.Compare(n.Seq, w.seq)) <= 0 && now-w.madeAt <= j.settings.ReportTTL {
			return false
		}
	case len(j.reports) >= maxOrigins:
		return false
	default:
		if len(j.reports) == cap(j.reports) {
			j.reports = slices.Grow(j.reports, 32) // not twice as many: memory is bounded
		}
		j.reports = slices.Insert(j.reports, i, &storedReport{})
	}
	*j.reports[i] = storedReport{origin: n.Origin, start: n.Start, seq: n.Seq, madeAt: now - n.Age, Report: n.Report}
	return true
}

// closeWindow closes the window and takes in the own report over the last ones, which it returns.
func (j *Detector) closeWindow(now Time) OriginReport {
	j.current.length = now - j.current.startedAt
	room := j.closed[0].Summary
	copy(j.closed[:], j.closed[1:])
	j.closed[windows-1] = j.current
	room.reset()
	j.current = window{Summary: room, startedAt: now}
	j.seq++
	own := OriginReport{Origin: j.settings.Origin, Seq: j.seq, Report: summarize(j.closed[:], uint16(j.settings.HighThreshold/namedFraction*fullShare))}
	j.store(now, own)
	j.reports = slices.DeleteFunc(j.reports, func(w *storedReport) bool { return now-w.madeAt > j.settings.ReportTTL })
	return own
}

// fleet is the work of all clients by all words, in microseconds a second.
type fleet struct{ total, served, requests, err uint64 }

// tally is the work of one client.
type tally struct {
	key          uint64
	total        uint64
	largestOther uint64 // of the sum, by the one other origin that tells most of it
}

// largestTotals returns the largest total that another origin told, and the next of all.
func (j *Detector) largestTotals() (first, next uint64) {
	for _, w := range j.reports {
		if w.origin == j.settings.Origin {
			next = max(next, w.Total)
			continue
		}
		next = max(next, min(first, w.Total))
		first = max(first, w.Total)
	}
	return first, next
}

// sumReports adds the words up, another origin's total counting for no more than most: over all, and for each client that is
// held or may have more than 1/65 of it. The order of the words plays no part in the sums.
func (j *Detector) sumReports(most uint64) (f fleet, clients []tally) {
	var likely Summary
	for _, w := range j.reports {
		total := j.cappedTotal(w, most)
		f.total += total
		f.served += total * uint64(w.Served) / fullShare
		f.err += total * uint64(w.Err) / fullShare
		f.requests += uint64(w.Requests)
		for i := range w.Named {
			likely.put(w.Keys[i], total*uint64(w.Shares[i])/fullShare)
		}
	}
	keys := likely.keys
	for _, c := range j.clients {
		if !slices.Contains(keys, c.Key) {
			keys = append(keys, c.Key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		t := tally{key: key}
		for _, w := range j.reports {
			if i := slices.Index(w.Keys[:w.Named], key); i >= 0 {
				part := j.cappedTotal(w, most) * uint64(w.Shares[i]) / fullShare
				if t.total += part; w.origin != j.settings.Origin {
					t.largestOther = max(t.largestOther, part)
				}
			}
		}
		clients = append(clients, t)
	}
	return f, clients
}

// demand is what all but the clients ask for, and what all do less what gives way while servers are full.
func (j *Detector) demand(f fleet, clients []tally) (rest, sent float64) {
	rest, sent = float64(f.total), float64(f.total)
	for _, t := range clients {
		rest -= float64(t.total)
		if c := j.heavyClient(t.key); c != nil {
			sent -= float64(t.total) * (1 - c.AdmittedShare)
		}
	}
	return rest, sent
}

// heavyClient returns a client that is held for heavyClient, or nil.
func (j *Detector) heavyClient(key uint64) *Client {
	if i, held := j.find(key); held && j.clients[i].State == Heavy {
		return j.clients[i]
	}
	return nil
}

func (j *Detector) cappedTotal(w *storedReport, most uint64) uint64 {
	if w.origin == j.settings.Origin {
		return w.Total
	}
	return min(w.Total, most)
}

// setShare notes a client's share, of which there may be more than is sure.
func (c *Client) setShare(share float64, t tally, f fleet) {
	c.Share, c.ShareError = share, float64(t.largestOther+f.err)/math.Max(float64(f.total), 1)
}

// client returns the client that is held by a key, or a quiet one that is not.
func (j *Detector) client(key uint64) *Client {
	if i, held := j.find(key); held {
		return j.clients[i]
	}
	return &Client{Key: key, AdmittedShare: 1, credit: float64((key^j.settings.Origin)%97) / 97}
}

// storeClient keeps a client by its new state. Where there is no room, the one that cools longest is let go.
func (j *Detector) storeClient(c *Client) {
	i, held := j.find(c.Key)
	switch {
	case held && c.State == Quiet:
		j.clients = slices.Delete(j.clients, i, i+1)
	case !held && len(j.clients) < maxClients:
		j.clients = slices.Insert(j.clients, i, c)
	case !held:
		var oldest *Client
		for _, o := range j.clients {
			if o.State == Cooling && (oldest == nil || o.Since < oldest.Since) {
				oldest = o
			}
		}
		if oldest != nil {
			oldest.State = Quiet
			j.storeClient(oldest)
			j.storeClient(c)
		}
	}
}

func (j *Detector) find(key uint64) (int, bool) {
	return slices.BinarySearchFunc(j.clients, key, func(c *Client, k uint64) int { return cmp.Compare(c.Key, k) })
}
