package hitters

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Here is what is counted and added up. What it is taken for is decided in judge.go.

// News is a report as it comes from the members, this sidecar included.
type News struct {
	Origin uint64 // Key of its name
	Start  int64  // of its process: a later process has a higher one
	Seq    uint64 // rises within a process
	Age    time.Duration
	Report Report
}

// word is an origin's latest report.
type word struct {
	origin uint64
	start  int64
	seq    uint64
	at     Time // when it was made
	Report
}

// window is what a sidecar counted in a stretch of time.
type window struct {
	Summary
	served   uint64 // of its total
	requests uint64
	begun    Time
	length   time.Duration
}

// Count takes in what a request of a client took, or would have taken, and whether it was served. Danger: if what is
// refused did not count, a flood that gives way would pass for gone, and be let in again.
func (j *Judge) Count(key uint64, work time.Duration, served bool) {
	us := uint64(min(max(work, 0), mostWork) / time.Microsecond)
	j.open.Add(key, us)
	j.open.requests++
	if served {
		j.open.served += us
	}
}

// Tell takes in what an origin told, and returns whether it is news: the latest of it, and not older than the bound.
// What others say in this sidecar's name is none.
//
// Danger: a word that was dropped for its age must not come back as an older one. It cannot: that is older still.
func (j *Judge) Tell(now Time, n News) bool {
	return n.Origin != j.set.Origin && n.Age >= 0 && n.Age <= j.set.Bound && j.keep(now, n)
}

// keep has a word be its origin's, unless it holds a later one.
func (j *Judge) keep(now Time, n News) bool {
	i, held := slices.BinarySearchFunc(j.words, n.Origin, func(w *word, o uint64) int { return cmp.Compare(w.origin, o) })
	switch {
	case held:
		w := j.words[i]
		if cmp.Or(cmp.Compare(n.Start, w.start), cmp.Compare(n.Seq, w.seq)) <= 0 && now-w.at <= j.set.Bound {
			return false
		}
	case len(j.words) >= mostOrigins:
		return false
	default:
		if len(j.words) == cap(j.words) {
			j.words = slices.Grow(j.words, 32) // not twice as many: memory is bounded
		}
		j.words = slices.Insert(j.words, i, &word{})
	}
	*j.words[i] = word{origin: n.Origin, start: n.Start, seq: n.Seq, at: now - n.Age, Report: n.Report}
	return true
}

// endWindow closes the window and takes in the own report over the last ones, which it returns.
func (j *Judge) endWindow(now Time) News {
	j.open.length = now - j.open.begun
	room := j.closed[0].Summary
	copy(j.closed[:], j.closed[1:])
	j.closed[windows-1] = j.open
	room.reset()
	j.open = window{Summary: room, begun: now}
	j.seq++
	own := News{Origin: j.set.Origin, Seq: j.seq, Report: report(j.closed[:], uint16(j.set.High/tellFrom*whole))}
	j.keep(now, own)
	j.words = slices.DeleteFunc(j.words, func(w *word) bool { return now-w.at > j.set.Bound })
	return own
}

// fleet is the work of all clients by all words, in microseconds a second.
type fleet struct{ total, served, requests, err uint64 }

// tally is the work of one client.
type tally struct {
	key  uint64
	sum  uint64
	most uint64 // of the sum, by the one other origin that tells most of it
}

// totals returns the largest total that another origin told, and the next of all.
func (j *Judge) totals() (first, next uint64) {
	for _, w := range j.words {
		if w.origin == j.set.Origin {
			next = max(next, w.Total)
			continue
		}
		next = max(next, min(first, w.Total))
		first = max(first, w.Total)
	}
	return first, next
}

// sum adds the words up, another origin's total counting for no more than most: over all, and for each client that is
// held or may have more than 1/65 of it. The order of the words plays no part in the sums.
func (j *Judge) sum(most uint64) (f fleet, clients []tally) {
	var likely Summary
	for _, w := range j.words {
		total := j.weight(w, most)
		f.total += total
		f.served += total * uint64(w.Served) / whole
		f.err += total * uint64(w.Err) / whole
		f.requests += uint64(w.Requests)
		for i := range w.Named {
			likely.put(w.Keys[i], total*uint64(w.Shares[i])/whole)
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
		for _, w := range j.words {
			if i := slices.Index(w.Keys[:w.Named], key); i >= 0 {
				part := j.weight(w, most) * uint64(w.Shares[i]) / whole
				if t.sum += part; w.origin != j.set.Origin {
					t.most = max(t.most, part)
				}
			}
		}
		clients = append(clients, t)
	}
	return f, clients
}

// asked is what all but the clients ask for, and what all do less what gives way while servers are full.
func (j *Judge) asked(f fleet, clients []tally) (rest, sent float64) {
	rest, sent = float64(f.total), float64(f.total)
	for _, t := range clients {
		rest -= float64(t.sum)
		if c := j.heavy(t.key); c != nil {
			sent -= float64(t.sum) * (1 - c.Keep)
		}
	}
	return rest, sent
}

// heavy returns a client that is held for heavy, or nil.
func (j *Judge) heavy(key uint64) *Client {
	if i, held := j.find(key); held && j.clients[i].State == Heavy {
		return j.clients[i]
	}
	return nil
}

func (j *Judge) weight(w *word, most uint64) uint64 {
	if w.origin == j.set.Origin {
		return w.Total
	}
	return min(w.Total, most)
}

// take notes a client's share, of which there may be more than is sure.
func (c *Client) take(share float64, t tally, f fleet) {
	c.Share, c.Above = share, float64(t.most+f.err)/math.Max(float64(f.total), 1)
}

// client returns the client that is held by a key, or a quiet one that is not.
func (j *Judge) client(key uint64) *Client {
	if i, held := j.find(key); held {
		return j.clients[i]
	}
	return &Client{Key: key, Keep: 1, credit: float64((key^j.set.Origin)%97) / 97}
}

// hold keeps a client by its new state. Where there is no room, the one that cools longest is let go.
func (j *Judge) hold(c *Client) {
	i, held := j.find(c.Key)
	switch {
	case held && c.State == Quiet:
		j.clients = slices.Delete(j.clients, i, i+1)
	case !held && len(j.clients) < mostClients:
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
			j.hold(oldest)
			j.hold(c)
		}
	}
}

func (j *Judge) find(key uint64) (int, bool) {
	return slices.BinarySearchFunc(j.clients, key, func(c *Client, k uint64) int { return cmp.Compare(c.Key, k) })
}
