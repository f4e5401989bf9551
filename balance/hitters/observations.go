package hitters

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// OriginReport is a report together with its origin, as received from a member or created by this sidecar.
type OriginReport struct {
	Origin uint64 // Key of the origin's name
	Start  int64  // identifies the origin's process; a later process has a higher value
	Seq    uint64 // increases within a process
	Age    time.Duration
	Report Report
}

// storedReport is an origin's latest report.
type storedReport struct {
	origin uint64
	start  int64
	seq    uint64
	madeAt Time
	Report
}

// window holds what a sidecar counted during some time.
type window struct {
	Summary
	served    uint64 // the part of the total work that was served
	requests  uint64
	startedAt Time
	length    time.Duration
}

// reportsGrowth is the number of reports by which the slice grows. Doubling it would exceed the memory bound.
const reportsGrowth = 32

// Observe counts the work that a client's request took, or would have taken, and whether it was served. Rejected requests
// count as well: otherwise a flood would seem to be over while it is rejected, and would be admitted again.
func (d *Detector) Observe(key uint64, work time.Duration, served bool) {
	microseconds := uint64(min(max(work, 0), maxRequestWork) / time.Microsecond)
	d.current.Add(key, microseconds)
	d.current.requests++
	if served {
		d.current.served += microseconds
	}
}

// Receive stores a report of another origin, and reports whether it was accepted: it must be the origin's latest report and
// not older than the TTL. Reports that others send in this sidecar's name are not accepted.
//
// After a report has been dropped for its age, no older report of the same origin can be accepted, as that one would be older
// than the TTL as well.
func (d *Detector) Receive(now Time, r OriginReport) bool {
	isFresh := r.Age >= 0 && r.Age <= d.settings.ReportTTL
	return r.Origin != d.settings.Origin && isFresh && d.store(now, r)
}

// store stores a report of an origin unless a later one is stored that has not expired.
func (d *Detector) store(now Time, r OriginReport) bool {
	index, held := slices.BinarySearchFunc(d.reports, r.Origin, func(s *storedReport, origin uint64) int {
		return cmp.Compare(s.origin, origin)
	})
	switch {
	case held:
		if !d.reports[index].isSuperseded(now, r, d.settings.ReportTTL) {
			return false
		}
	case len(d.reports) >= maxOrigins:
		return false
	default:
		if len(d.reports) == cap(d.reports) {
			d.reports = slices.Grow(d.reports, reportsGrowth)
		}
		d.reports = slices.Insert(d.reports, index, &storedReport{})
	}
	*d.reports[index] = storedReport{origin: r.Origin, start: r.Start, seq: r.Seq, madeAt: now - r.Age, Report: r.Report}
	return true
}

// isSuperseded reports whether a report is newer than the stored one, or the stored one has expired.
func (s *storedReport) isSuperseded(now Time, r OriginReport, ttl time.Duration) bool {
	order := cmp.Or(cmp.Compare(r.Start, s.start), cmp.Compare(r.Seq, s.seq))
	return order > 0 || now-s.madeAt > ttl
}

// closeWindow closes the current window, and stores and returns this sidecar's report over the last windows.
func (d *Detector) closeWindow(now Time) OriginReport {
	d.current.length = now - d.current.startedAt
	reused := d.closed[0].Summary
	copy(d.closed[:], d.closed[1:])
	d.closed[windows-1] = d.current
	reused.reset()
	d.current = window{Summary: reused, startedAt: now}
	d.seq++
	minShare := uint16(d.settings.HighThreshold / namedFraction * fullShare)
	own := OriginReport{Origin: d.settings.Origin, Seq: d.seq, Report: summarize(d.closed[:], minShare)}
	d.store(now, own)
	d.reports = slices.DeleteFunc(d.reports, func(s *storedReport) bool { return now-s.madeAt > d.settings.ReportTTL })
	return own
}

// fleet is the work of all clients summed over all reports, in microseconds per second.
type fleet struct{ total, served, requests, err uint64 }

// tally is the work of one client.
type tally struct {
	key          uint64
	total        uint64
	largestOther uint64 // the largest part of the total that a single other origin reports
}

// secondLargestTotal returns the largest total after excluding the largest total of another origin.
func (d *Detector) secondLargestTotal() (second uint64) {
	var largest uint64
	for _, r := range d.reports {
		if r.origin == d.settings.Origin {
			second = max(second, r.Total)
			continue
		}
		second = max(second, min(largest, r.Total))
		largest = max(largest, r.Total)
	}
	return second
}

// cappedTotal returns a report's total, capped at maxOther for other origins.
func (d *Detector) cappedTotal(r *storedReport, maxOther uint64) uint64 {
	if r.origin == d.settings.Origin {
		return r.Total
	}
	return min(r.Total, maxOther)
}

// sumReports sums up the reports, capping the totals of other origins at a bound: for the whole fleet, and for each client that
// is tracked or may have more than 1/65 of the total. The sums do not depend on the order of the reports.
func (d *Detector) sumReports(maxOther uint64) (f fleet, tallies []tally) {
	var candidates Summary
	for _, r := range d.reports {
		total := d.cappedTotal(r, maxOther)
		f.total += total
		f.served += total * uint64(r.Served) / fullShare
		f.err += total * uint64(r.Err) / fullShare
		f.requests += uint64(r.Requests)
		for i := range r.Named {
			candidates.put(r.Keys[i], total*uint64(r.Shares[i])/fullShare)
		}
	}
	keys := candidates.keys
	for _, c := range d.clients {
		if !slices.Contains(keys, c.Key) {
			keys = append(keys, c.Key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		tallies = append(tallies, d.tallyOf(key, maxOther))
	}
	return f, tallies
}

// tallyOf sums up the work of one client.
func (d *Detector) tallyOf(key, maxOther uint64) tally {
	t := tally{key: key}
	for _, r := range d.reports {
		i := slices.Index(r.Keys[:r.Named], key)
		if i < 0 {
			continue
		}
		part := d.cappedTotal(r, maxOther) * uint64(r.Shares[i]) / fullShare
		t.total += part
		if r.origin != d.settings.Origin {
			t.largestOther = max(t.largestOther, part)
		}
	}
	return t
}

// maxMin returns the level up to which each client gets what it asks for, so that together they get what is left. It is the
// max-min fair share, found by progressive filling from the smallest demand (Bertsekas and Gallager, Data networks, 1992,
// 6.5.2). It is infinite if all demands can be met, and negative if less than nothing is left. It sorts the tallies by demand.
func maxMin(left float64, tallies []tally) float64 {
	slices.SortFunc(tallies, func(x, y tally) int {
		return cmp.Or(cmp.Compare(x.total, y.total), cmp.Compare(x.key, y.key))
	})
	for i, t := range tallies {
		if each := left / float64(len(tallies)-i); each < float64(t.total) {
			return each
		}
		left -= float64(t.total)
	}
	return math.Inf(1)
}
