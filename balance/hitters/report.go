package hitters

import (
	"cmp"
	"encoding/binary"
	"errors"
	"math/bits"
	"slices"
	"time"
)

// Report is what an origin tells of its last windows. Shares are of its total, in units of 1/65535. Memory is bounded by
// its size, so it holds arrays and not slices.
type Report struct {
	Total    uint64 // work a second, asked for, in microseconds of any unit that all share
	Requests uint32 // counted
	Served   uint16 // share of the total that was served, rounded down
	Err      uint16 // no client has more than its share and this, rounded up; its share is 0 if it is not named
	Shares   [maxNamed]uint16
	Named    uint8
	Keys     [maxNamed]uint64
}

const (
	layoutVersion  = 1   // of a report's bytes. A later one may add bytes behind, which are passed over
	MaxReportBytes = 400 // bytes
)

// ReportInterval is in how many windows a sidecar tells its report once, among so many members. Danger: what they all tell in a second
// would grow with their number, and past some 150 of them it would fill the gossip, so that no news comes in time.
func ReportInterval(members int) uint64 { return uint64(1 + max(members-1, 0)/maxReportsPerWindow) }

var errInvalidReport = errors.New("hitters: no report of this layout")

// Append appends the report's bytes: layout, total and requests as varints, served, err, the number of keys, and a
// key's eight bytes with its share's two each. It is 131 bytes at most.
func (r *Report) Append(to []byte) []byte {
	to = append(to, layoutVersion)
	to = binary.AppendUvarint(to, r.Total)
	to = binary.AppendUvarint(to, uint64(r.Requests))
	to = binary.BigEndian.AppendUint16(to, r.Served)
	to = binary.BigEndian.AppendUint16(to, r.Err)
	to = append(to, r.Named)
	for i := range r.Named {
		to = binary.BigEndian.AppendUint64(to, r.Keys[i])
		to = binary.BigEndian.AppendUint16(to, r.Shares[i])
	}
	return to
}

// ParseReport reads a report's bytes. What it refuses could not be true: shares of more than the whole, out of order, or
// told twice, and totals beyond what any fleet does.
func ParseReport(from []byte) (Report, error) {
	var r Report
	if len(from) > MaxReportBytes || len(from) == 0 || from[0] != layoutVersion {
		return r, errInvalidReport
	}
	from = from[1:]
	total, n := binary.Uvarint(from)
	if n <= 0 || total > maxTotal {
		return r, errInvalidReport
	}
	from = from[n:]
	requests, n := binary.Uvarint(from)
	if n <= 0 || requests > 1<<32-1 || len(from) < n+5 {
		return r, errInvalidReport
	}
	from = from[n:]
	r = Report{Total: total, Requests: uint32(requests), Served: binary.BigEndian.Uint16(from), Err: binary.BigEndian.Uint16(from[2:]), Named: from[4]}
	if from = from[5:]; r.Named > maxNamed || len(from) < 10*int(r.Named) {
		return Report{}, errInvalidReport
	}
	sum, last := 0, uint16(fullShare)
	for i := range int(r.Named) {
		key, share := binary.BigEndian.Uint64(from[10*i:]), binary.BigEndian.Uint16(from[10*i+8:])
		sum += int(share)
		if share == 0 || share > last || sum > fullShare || slices.Contains(r.Keys[:i], key) {
			return Report{}, errInvalidReport
		}
		r.Keys[i], r.Shares[i], last = key, share, share
	}
	return r, nil
}

// summarize sums the windows up. Clients under least of the total are left out, to keep reports short.
func summarize(from []window, least uint16) Report {
	var all Summary
	var served, requests uint64
	var span time.Duration
	for i := range from {
		all.Merge(&from[i].Summary)
		served += from[i].served
		requests += from[i].requests
		span += from[i].length
	}
	total := all.Total()
	if total == 0 || span <= 0 {
		return Report{}
	}
	r := Report{Total: min(uint64(float64(total)/span.Seconds()), maxTotal), Requests: uint32(min(requests, 1<<32-1)),
		Served: fractionOf(served, total, false)}
	order := make([]int, len(all.keys))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(x, y int) int {
		return cmp.Or(cmp.Compare(all.work[y], all.work[x]), cmp.Compare(all.keys[x], all.keys[y]))
	})
	omitted := uint64(0)
	for _, i := range order {
		part := fractionOf(all.work[i], total, false)
		if part == 0 || part < least || r.Named == maxNamed {
			omitted = all.work[i]
			break
		}
		r.Keys[r.Named], r.Shares[r.Named] = all.keys[i], part
		r.Named++
	}
	// One unit more, as the shares are rounded down.
	r.Err = uint16(min(int(fractionOf(min(all.Err()+omitted, total), total, true))+1, fullShare))
	return r
}

// fractionOf is part of total in units of 1/65535.
func fractionOf(part, total uint64, up bool) uint16 {
	high, low := bits.Mul64(min(part, total), fullShare)
	q, rest := bits.Div64(high, low, total)
	if up && rest > 0 {
		q++
	}
	return uint16(q)
}
