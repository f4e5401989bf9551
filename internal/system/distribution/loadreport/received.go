package loadreport

import (
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/fields"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// maxUnits bounds what one number of a message may be, so that no sum overflows.
const maxUnits = 1 << 32

// Received is what a reader has of another process's vector. The zero value has received nothing. It is not safe for concurrent use;
// its owner locks.
type Received struct {
	softstate.Cursor // up to which changes have been applied

	ReceivedAt time.Time // when the vector was last confirmed or changed by a message

	ids   []string
	loads []pick.Load
}

// Apply applies changes. It returns false for ones that do not continue what is held, or cannot be read: the next call must then name
// the cursor that is held now.
func (r *Received) Apply(now time.Time, changes *distributionpb.Loads) bool {
	if changes == nil {
		return false
	}
	if changes.GetFrom() == 0 {
		return r.replace(now, changes)
	}
	if changes.GetBoot() != r.BootID || changes.GetFrom() > r.Number || changes.GetNumber() < r.Number {
		return false
	}
	r.ReceivedAt = now
	if changes.GetNumber() == r.Number {
		return true
	}
	// Values are absolute and indexes stay, so a reader that is ahead of From may apply them as well.
	if !r.decode(changes.GetBody()) {
		*r = Received{}
		return false
	}
	r.Number = changes.GetNumber()
	return true
}

// replace takes a complete vector in place of what is held.
func (r *Received) replace(now time.Time, complete *distributionpb.Loads) bool {
	if complete.GetBoot() == r.BootID && complete.GetNumber() < r.Number {
		return false
	}
	fresh := Received{Cursor: softstate.Cursor{BootID: complete.GetBoot(), Number: complete.GetNumber()}, ReceivedAt: now}
	if !fresh.decode(complete.GetBody()) {
		return false
	}
	*r = fresh
	return true
}

// decode applies coded changes. Where it returns false, some of them may have been applied.
func (r *Received) decode(body []byte) bool {
	reader := fields.NewReader(body)
	index := -1
	for !reader.Complete() {
		head := reader.Uvarint()
		if reader.Failed() || head>>1 > softstate.MaxServers {
			return false
		}
		index += int(head>>1) + 1
		if index > softstate.MaxServers || index > len(r.ids) {
			return false
		}
		switch isNew := head&1 == 1; {
		case isNew:
			id := readID(&reader)
			if reader.Failed() {
				return false
			}
			if index == len(r.ids) {
				r.ids, r.loads = append(r.ids, id), append(r.loads, pick.Load{})
			}
			r.ids[index] = id
		case index == len(r.ids):
			return false
		}
		requests, prefill, tokens := reader.Uvarint(), reader.Uvarint(), reader.Uvarint()
		if reader.Failed() {
			return false
		}
		r.loads[index] = pick.Load{Requests: int(min(requests, maxUnits)), Prefill: int64(min(prefill, maxUnits)) * prefillUnit,
			Tokens: int64(min(tokens, maxUnits)) * tokensUnit}
	}
	return true
}

// readID reads the id of a server.
func readID(in *fields.Reader) string {
	id := in.Bytes()
	if len(id) > softstate.MaxIDBytes {
		in.Fail()
		return ""
	}
	return string(id)
}

// AddTo adds the loads to sums, by server id, unless they are older than TTL.
func (r *Received) AddTo(now time.Time, sums map[string]pick.Load) {
	if now.Sub(r.ReceivedAt) > TTL {
		return
	}
	for i, load := range r.loads {
		if load == (pick.Load{}) {
			continue
		}
		sum := sums[r.ids[i]]
		sums[r.ids[i]] = pick.Load{Requests: sum.Requests + load.Requests, Prefill: sum.Prefill + load.Prefill, Tokens: sum.Tokens + load.Tokens}
	}
}

// Without returns the loads less own, at least 0, and leaves out what becomes 0.
func (r *Received) Without(own map[string]pick.Load) map[string]pick.Load {
	out := make(map[string]pick.Load, len(r.loads))
	for i, load := range r.loads {
		if part, ok := own[r.ids[i]]; ok {
			part = roundUpToUnits(part)
			load = pick.Load{Requests: max(0, load.Requests-part.Requests), Prefill: max(0, load.Prefill-part.Prefill),
				Tokens: max(0, load.Tokens-part.Tokens)}
		}
		if load != (pick.Load{}) {
			out[r.ids[i]] = load
		}
	}
	return out
}
