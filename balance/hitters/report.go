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

// Report is an origin's report of its last windows. Shares are fractions of its total in units of 1/65535. The fields are
// arrays and not slices because the memory bound of the package relies on the fixed size of a Report.
type Report struct {
	Total    uint64 // requested work per second, in microseconds of any unit that all origins share
	Requests uint32 // number of requests counted
	Served   uint16 // share of the total that was served, rounded down
	Err      uint16 // a client has at most its share plus Err, rounded up; the share of a client that is not named is 0
	Shares   [maxNamed]uint16
	Named    uint8
	Keys     [maxNamed]uint64
}

// MaxReportBytes is the maximum size of a report that ParseReport accepts.
const MaxReportBytes = 400

// Layout of an encoded report.
const (
	layoutVersion    = 1 // later versions with this number may append bytes, which are ignored
	fixedFieldsBytes = 5 // Served, Err and Named
	keyBytes         = 8
	clientBytes      = 10 // a key and its share
)

// ErrInvalidReport is returned for bytes that are not a report of this layout, or a report that cannot be true.
var ErrInvalidReport = errors.New("hitters: invalid report")

// ReportInterval returns the number of windows per report that a sidecar sends, given the number of members. With one report
// per window, the traffic would grow with the number of members, and beyond about 150 members it would exceed the capacity
// of gossip so that no report arrives in time.
func ReportInterval(members int) uint64 { return uint64(1 + max(members-1, 0)/maxReportsPerWindow) }

// Append appends the encoded report: the layout version, total and requests as varints, served, err, the number of keys, and
// eight bytes of key with two bytes of share for each. It takes at most 131 bytes.
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

// ParseReport decodes a report. It returns ErrInvalidReport for bytes of another layout and for reports that cannot be true:
// shares that add up to more than the total, are out of order or belong to a key named twice, and totals that no fleet reaches.
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

// parseUvarint decodes a number up to a bound, and returns the remaining bytes.
func parseUvarint(from []byte, bound uint64) (value uint64, rest []byte, ok bool) {
	value, size := binary.Uvarint(from)
	if size <= 0 || value > bound {
		return 0, nil, false
	}
	return value, from[size:], true
}

// parseClients decodes the named clients, and reports whether they can be true.
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

// summarize returns a report of the given windows. Clients below a minimum share of the total are omitted to keep it short.
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
		Served:   fractionRoundedDown(all.served, total),
	}
	omitted := r.nameClients(&all.Summary, minShare)
	// One unit is added because the shares are rounded down.
	r.Err = uint16(min(int(fractionRoundedUp(min(all.Err()+omitted, total), total))+1, fullShare))
	return r
}

func perSecond(work uint64, length time.Duration) uint64 {
	return min(uint64(float64(work)/length.Seconds()), maxTotal)
}

// nameClients names the largest clients in the report, and returns the work of the largest client that it omitted.
func (r *Report) nameClients(all *Summary, minShare uint16) (omitted uint64) {
	for _, i := range all.byWork() {
		share := fractionRoundedDown(all.work[i], all.total)
		if share == 0 || share < minShare || r.Named == maxNamed {
			return all.work[i]
		}
		r.Keys[r.Named], r.Shares[r.Named] = all.keys[i], share
		r.Named++
	}
	return 0
}

// byWork returns the indexes of the counters, sorted by descending work.
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

// fractionRoundedDown returns part/total in units of 1/65535, rounded down.
func fractionRoundedDown(part, total uint64) uint16 {
	quotient, _ := divide(part, total)
	return uint16(quotient)
}

// fractionRoundedUp returns part/total in units of 1/65535, rounded up.
func fractionRoundedUp(part, total uint64) uint16 {
	quotient, remainder := divide(part, total)
	if remainder > 0 {
		quotient++
	}
	return uint16(quotient)
}

// divide returns part*fullShare/total and the remainder. The product may need more than 64 bits.
func divide(part, total uint64) (quotient, remainder uint64) {
	high, low := bits.Mul64(min(part, total), fullShare)
	return bits.Div64(high, low, total)
}
