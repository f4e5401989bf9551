package loadreport

import (
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/fields"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// maxUnits bounds a single number of a message, so that no sum overflows.
const maxUnits = 1 << 32

// Received is a reader's copy of another process's vector. The zero value has received nothing. It is not safe for concurrent use; the
// owner must lock it.
type Received struct {
	softstate.Cursor // position up to which changes have been applied

	ReceivedAt time.Time // when the vector was last confirmed or changed by a message

	ids   []string
	loads []pick.Load
}

// Apply applies changes. It returns false for changes that do not continue the copy or cannot be decoded: the next call must then state
// the cursor of the copy.
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
	// Values are absolute and indexes are stable, so a reader that is ahead of From may apply the changes as well.
	if !r.decode(changes.GetBody()) {
		*r = Received{}
		return false
	}
	r.Number = changes.GetNumber()
	return true
}

// replace replaces the copy by a complete vector.
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

// decode applies encoded changes. If it returns false, some of them may have been applied.
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

// Without returns the loads minus own, at least 0, and omits those that become 0.
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
