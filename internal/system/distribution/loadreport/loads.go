package loadreport

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// TTL is how long a load counts after it was told.
const TTL = time.Second

// MaxServers bounds the servers of one vector, and MaxIDBytes the length of a server's id.
const (
	MaxServers = 1 << 16
	MaxIDBytes = 256
)

// Vector publishes a load Vector as numbered changes. Servers get indexes, so that an id goes over the wire once to each
// reader. A change of no weight (under an eighth) is held back for up to settle.
//
// Tokens are told in units, rounded up where they are first told, so that sums and differences of what is told are whole.
//
// The coding of the changes after a number: for each server changed, uvarint(index - previous index - 1)<<1 | new, the id
// (uvarint length, bytes) if the reader cannot know it yet, then uvarints requests, prefill and tokens in their units.
type Vector struct {
	exact   bool // publish every change
	BootID  uint64
	Number  uint64
	indexes map[string]int
	slots   []slot

	cachedFrom, cachedAt uint64 // the numbers between which cached holds the changes
	cached               []byte
}

type slot struct {
	id          string
	load        pick.Load
	addedNumber uint64 // number that brought the id
	number      uint64 // of the last change
	changed     time.Time
}

const minorChangeDelay = time.Second

const (
	prefillUnit = 64
	tokensUnit  = 256
)

// roundUpToUnits rounds a load up to whole units.
func roundUpToUnits(l pick.Load) pick.Load {
	up := func(n, unit int64) int64 { return (max(0, min(n, 1<<40)) + unit - 1) / unit * unit }
	return pick.Load{Requests: max(0, l.Requests), Prefill: up(l.Prefill, prefillUnit), Tokens: up(l.Tokens, tokensUnit)}
}

func NewVector(exact bool) *Vector {
	return &Vector{exact: exact, BootID: rand.Uint64() | 1, indexes: map[string]int{}}
}

func isMaterial(old, now pick.Load) bool {
	far := func(a, b, unit int64) bool {
		d := a - b
		if d < 0 {
			d = -d
		}
		return d > 0 && (a == 0 || b == 0 || d > max(unit, max(a, b)/8))
	}
	return far(int64(old.Requests), int64(now.Requests), 0) || far(old.Prefill, now.Prefill, 256) || far(old.Tokens, now.Tokens, 1024)
}

// Publish makes loads the vector and tells whether that made a change.
func (v *Vector) Publish(now time.Time, loads map[string]pick.Load) bool {
	if len(v.slots) > 2*len(loads)+1024 {
		// Most indexes are of servers long gone.
		*v = *NewVector(v.exact)
	}
	next := v.Number + 1
	changed := false
	for id, l := range loads {
		if l.Requests <= 0 && l.Prefill <= 0 && l.Tokens <= 0 {
			continue // an index is given together with a load, so that readers hear of it
		}
		if _, ok := v.indexes[id]; !ok && len(v.slots) < MaxServers && len(id) <= MaxIDBytes {
			v.indexes[id] = len(v.slots)
			v.slots = append(v.slots, slot{id: id, addedNumber: next})
		}
	}
	for i := range v.slots {
		s := &v.slots[i]
		l := roundUpToUnits(loads[s.id])
		if l == s.load || !v.exact && !isMaterial(s.load, l) && now.Sub(s.changed) < minorChangeDelay {
			continue
		}
		s.load, s.number, s.changed, changed = l, next, now, true
	}
	if changed {
		v.Number = next
	}
	return changed
}

// ChangesSince codes the changes after the cursor; all of them for a cursor of another life.
func (v *Vector) ChangesSince(boot, number uint64) *distributionpb.Loads {
	if boot != v.BootID || number > v.Number {
		number = 0
	}
	out := &distributionpb.Loads{Boot: v.BootID, From: number, Number: v.Number}
	if number == v.Number {
		return out
	}
	if v.cached == nil || v.cachedFrom != number || v.cachedAt != v.Number {
		v.cached, v.cachedFrom, v.cachedAt = v.encode(number), number, v.Number
	}
	out.Body = v.cached
	return out
}

func (v *Vector) encode(from uint64) []byte {
	out := make([]byte, 0, 64)
	last := -1
	for i := range v.slots {
		s := &v.slots[i]
		if s.number <= from {
			continue
		}
		head := uint64(i-last-1) << 1
		last = i
		if s.addedNumber > from {
			out = binary.AppendUvarint(out, head|1)
			out = binary.AppendUvarint(out, uint64(len(s.id)))
			out = append(out, s.id...)
		} else {
			out = binary.AppendUvarint(out, head)
		}
		out = binary.AppendUvarint(out, uint64(s.load.Requests))
		out = binary.AppendUvarint(out, uint64(s.load.Prefill/prefillUnit))
		out = binary.AppendUvarint(out, uint64(s.load.Tokens/tokensUnit))
	}
	return out
}

// Received is what a reader holds of another process's vector.
type Received struct {
	BootID, Number uint64
	ids            []string
	loads          []pick.Load
	ReceivedAt     time.Time // when it was last told
}

// Apply takes changes in; it tells false for ones that do not follow on what is held or cannot be read, and then holds
// what it held.
func (r *Received) Apply(now time.Time, w *distributionpb.Loads) bool {
	if w == nil {
		return false
	}
	if w.GetFrom() == 0 {
		fresh := Received{BootID: w.GetBoot(), ReceivedAt: now}
		if w.GetBoot() == r.BootID && w.GetNumber() < r.Number {
			return false
		}
		if !fresh.decode(w.GetBody()) {
			return false
		}
		fresh.Number = w.GetNumber()
		*r = fresh
		return true
	}
	if w.GetBoot() != r.BootID || w.GetFrom() > r.Number || w.GetNumber() < r.Number {
		return false
	}
	r.ReceivedAt = now
	if w.GetNumber() == r.Number {
		return true
	}
	// Values are absolute and indexes stay, so a reader that is ahead of From may take them as well.
	if !r.decode(w.GetBody()) {
		*r = Received{}
		return false
	}
	r.Number = w.GetNumber()
	return true
}

func (r *Received) decode(b []byte) bool {
	next := func() (uint64, bool) {
		n, size := binary.Uvarint(b)
		if size <= 0 {
			return 0, false
		}
		b = b[size:]
		return n, true
	}
	i := -1
	for len(b) > 0 {
		head, ok := next()
		if !ok || head>>1 > MaxServers {
			return false
		}
		if i += int(head>>1) + 1; i > MaxServers || i > len(r.ids) {
			return false
		}
		if head&1 == 1 {
			n, ok := next()
			if !ok || n > MaxIDBytes || n > uint64(len(b)) {
				return false
			}
			id := string(b[:n])
			b = b[n:]
			if i == len(r.ids) {
				r.ids, r.loads = append(r.ids, id), append(r.loads, pick.Load{})
			}
			r.ids[i] = id
		} else if i == len(r.ids) {
			return false
		}
		requests, ok1 := next()
		prefill, ok2 := next()
		tokens, ok3 := next()
		if !ok1 || !ok2 || !ok3 {
			return false
		}
		const most = 1 << 32 // so that no sum overflows
		r.loads[i] = pick.Load{Requests: int(min(requests, most)), Prefill: int64(min(prefill, most)) * prefillUnit,
			Tokens: int64(min(tokens, most)) * tokensUnit}
	}
	return true
}

// AddTo adds what is held to sum, unless it is too old to count.
func (r *Received) AddTo(now time.Time, sum map[string]pick.Load) {
	if now.Sub(r.ReceivedAt) > TTL {
		return
	}
	for i, l := range r.loads {
		if l != (pick.Load{}) {
			s := sum[r.ids[i]]
			sum[r.ids[i]] = pick.Load{Requests: s.Requests + l.Requests, Prefill: s.Prefill + l.Prefill, Tokens: s.Tokens + l.Tokens}
		}
	}
}

// Without gives what is held Without mine, at least 0, without what becomes 0.
func (r *Received) Without(mine map[string]pick.Load) map[string]pick.Load {
	out := make(map[string]pick.Load, len(r.loads))
	for i, l := range r.loads {
		if l == (pick.Load{}) {
			continue
		}
		if o, ok := mine[r.ids[i]]; ok {
			o = roundUpToUnits(o)
			l = pick.Load{Requests: max(0, l.Requests-o.Requests), Prefill: max(0, l.Prefill-o.Prefill), Tokens: max(0, l.Tokens-o.Tokens)}
			if l == (pick.Load{}) {
				continue
			}
		}
		out[r.ids[i]] = l
	}
	return out
}
