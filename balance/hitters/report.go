package hitters

import (
	"cmp"
	"encoding/binary"
	"errors"
	"math"
	"math/bits"
	"slices"
	"time"
)

// Report is what an origin reports of its last windows. Shares are of its total, in units of 1/65535. Memory is bounded by its
// size, so it holds arrays and not slices.
type Report struct {
	Total    uint64 // work a second, asked for, in microseconds of any unit that all share
	Requests uint32 // counted
	Served   uint16 // share of the total that was served, rounded down
	Err      uint16 // no client has more than its share and this, rounded up; its share is 0 if it is not named
	Shares   [maxNamed]uint16
	Named    uint8
	Keys     [maxNamed]uint64
}

// MaxReportBytes bounds what ParseReport reads.
const MaxReportBytes = 400

// The form of an encoded report.
const (
	layoutVersion    = 1 // a later layout of the same number may add bytes behind, which are ignored
	fixedFieldsBytes = 5 // Served, Err and Named
	keyBytes         = 8
	clientBytes      = 10 // a key and its share
)

// ErrInvalidReport says that bytes are no report of this layout, or one that could not be true.
var ErrInvalidReport = errors.New("hitters: no report of this layout")

// ReportInterval is in how many windows a sidecar sends its report once, among so many members. What they all send in a second
// would grow with their number, and past some 150 of them it would fill the gossip, so that no report comes in time.
func ReportInterval(members int) uint64 { return uint64(1 + max(members-1, 0)/maxReportsPerWindow) }

// Append appends the report's bytes: layout, total and requests as varints, served, err, the number of keys, and a key's eight
// bytes with its share's two each. It is 131 bytes at most.
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

// ParseReport reads a report's bytes. What it refuses with ErrInvalidReport could not be true: shares of more than the total, out
// of order, or named twice, and totals beyond what any fleet does.
func ParseReport(encoded []byte) (Report, error) {
	if len(encoded) > MaxReportBytes || len(encoded) == 0 || encoded[0] != layoutVersion {
		return Report{}, ErrInvalidReport
	}
	total, rest, ok := parseUvarint(encoded[1:], maxTotal)
	if !ok {
		return Report{}, ErrInvalidReport
	}
	requests, rest, ok := parseUvarint(rest, math.MaxUint32)
	if !ok || len(rest) < fixedFieldsBytes {
		return Report{}, ErrInvalidReport
	}
	r := Report{
		Total:    total,
		Requests: uint32(requests),
		Served:   binary.BigEndian.Uint16(rest),
		Err:      binary.BigEndian.Uint16(rest[2:]),
		Named:    rest[4],
	}
	if !r.parseClients(rest[fixedFieldsBytes:]) {
		return Report{}, ErrInvalidReport
	}
	return r, nil
}

// parseUvarint reads a number up to a bound, and returns what follows it.
func parseUvarint(from []byte, bound uint64) (value uint64, rest []byte, ok bool) {
	value, size := binary.Uvarint(from)
	if size <= 0 || value > bound {
		return 0, nil, false
	}
	return value, from[size:], true
}

// parseClients reads the clients that are named, and tells whether they may be true.
func (r *Report) parseClients(from []byte) bool {
	if r.Named > maxNamed || len(from) < clientBytes*int(r.Named) {
		return false
	}
	sum, previous := 0, uint16(fullShare)
	for i := range int(r.Named) {
		client := from[clientBytes*i:]
		key, share := binary.BigEndian.Uint64(client), binary.BigEndian.Uint16(client[keyBytes:])
		sum += int(share)
		if share == 0 || share > previous || sum > fullShare || slices.Contains(r.Keys[:i], key) {
			return false
		}
		r.Keys[i], r.Shares[i] = key, share
		previous = share
	}
	return true
}

// summarize sums windows up. Clients under a share of the total are left out, to keep reports short.
func summarize(from []window, minShare uint16) Report {
	var all window
	for i := range from {
		all.Merge(&from[i].Summary)
		all.served += from[i].served
		all.requests += from[i].requests
		all.length += from[i].length
	}
	total := all.Total()
	if total == 0 || all.length <= 0 {
		return Report{}
	}
	r := Report{
		Total:    perSecond(total, all.length),
		Requests: uint32(min(all.requests, math.MaxUint32)),
		Served:   fractionOf(all.served, total),
	}
	omitted := r.nameClients(&all.Summary, minShare)
	// One unit more, as the shares are rounded down.
	r.Err = uint16(min(int(fractionAbove(min(all.Err()+omitted, total), total))+1, fullShare))
	return r
}

func perSecond(work uint64, length time.Duration) uint64 {
	return min(uint64(float64(work)/length.Seconds()), maxTotal)
}

// nameClients names the largest clients, and returns the work of the largest one that it left out.
func (r *Report) nameClients(all *Summary, minShare uint16) (omitted uint64) {
	for _, i := range all.byWork() {
		share := fractionOf(all.work[i], all.total)
		if share == 0 || share < minShare || r.Named == maxNamed {
			return all.work[i]
		}
		r.Keys[r.Named], r.Shares[r.Named] = all.keys[i], share
		r.Named++
	}
	return 0
}

// byWork are the indexes of the counters, the largest first.
func (s *Summary) byWork() []int {
	order := make([]int, len(s.keys))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(x, y int) int {
		return cmp.Or(cmp.Compare(s.work[y], s.work[x]), cmp.Compare(s.keys[x], s.keys[y]))
	})
	return order
}

// fractionOf is part of total in units of 1/65535, rounded down.
func fractionOf(part, total uint64) uint16 {
	quotient, _ := divide(part, total)
	return uint16(quotient)
}

// fractionAbove is the same, rounded up.
func fractionAbove(part, total uint64) uint16 {
	quotient, remainder := divide(part, total)
	if remainder > 0 {
		quotient++
	}
	return uint16(quotient)
}

// divide divides fullShare times a part, which may need more than 64 bits.
func divide(part, total uint64) (quotient, remainder uint64) {
	high, low := bits.Mul64(min(part, total), fullShare)
	return bits.Div64(high, low, total)
}
