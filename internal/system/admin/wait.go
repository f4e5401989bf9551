package admin

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Change names a change: by the number of its record, or by the revision of the configuration that it made.
type Change struct {
	Number   uint64
	Revision int64 // above 0: Number does not count
}

// ParseChange reads "number:812", "revision:9", or a bare number of a record.
func ParseChange(text string) (Change, error) {
	kind, value, found := strings.Cut(text, ":")
	if !found {
		kind, value = "number", text
	}
	n, err := strconv.ParseUint(value, 10, 63)
	switch {
	case err != nil || n == 0 || kind != "number" && kind != "revision":
		return Change{}, errors.Newf("%q names no change: give number:N or revision:N", text)
	case kind == "revision":
		return Change{Revision: int64(n)}, nil
	}
	return Change{Number: n}, nil
}

func (c Change) String() string {
	if c.Revision > 0 {
		return fmt.Sprintf("revision %d", c.Revision)
	}
	return fmt.Sprintf("record %d", c.Number)
}

// changeTracker finds out whether a change is in force.
type changeTracker struct {
	change Change
	number uint64 // of a record up to which the change is in force; 0: not known yet
}

// missing lists what does not hold the change, or may not; empty: it is in force at all keepers of the view and all live
// proxies.
func (w *changeTracker) missing(fleet *Fleet) []string {
	if w.number == 0 {
		w.number = w.change.Number
	}
	if w.number == 0 {
		// Revisions only rise, so the change is among the records of any keeper at this revision or a later one.
		for _, a := range fleet.Nodes {
			if s := a.Status; s != nil && s.Revision >= w.change.Revision && (w.number == 0 || s.Number < w.number) {
				w.number = s.Number
			}
		}
		if w.number == 0 {
			return []string{w.change.String() + " at any keeper"}
		}
	}
	var out []string
	if !fleet.Current() {
		out = append(out, "a current keeper")
	}
	for _, a := range fleet.Nodes {
		switch {
		case a.Status == nil:
			out = append(out, "an answer of keeper "+a.Address)
		case a.Status.Number < w.number:
			out = append(out, fmt.Sprintf("keeper %s, at record %d", a.Status.Node, a.Status.Number))
		}
	}
	for _, p := range fleet.Proxies {
		if p.Acknowledged < w.number {
			out = append(out, fmt.Sprintf("proxy %s, at record %d", p.Node, p.Acknowledged))
		}
	}
	for _, node := range fleet.Unseen {
		out = append(out, "proxy "+node+", which follows no keeper that answers")
	}
	return out
}

// pollInterval is the time between two looks.
const pollInterval = 200 * time.Millisecond

// Wait looks until the change is in force at all keepers of the view and at all live proxies, and gives the last look. When
// ctx ends first, the error says what is missing, marked ErrNotApplied.
func (c *Client) Wait(ctx context.Context, addresses []string, change Change) (*Fleet, error) {
	tracker := changeTracker{change: change}
	missing := []string{"an answer of any keeper"}
	var last *Fleet
	for {
		if fleet, err := c.Fleet(ctx, addresses); err == nil {
			last = fleet
			if missing = tracker.missing(fleet); len(missing) == 0 {
				return fleet, nil
			}
		}
		timer := time.NewTimer(pollInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return last, errors.Mark(errors.Newf("%s is not in force everywhere; missing: %s", change, joinFirst(missing)), ErrNotApplied)
		case <-timer.C:
		}
	}
}

// joinFirst joins the first ones.
func joinFirst(all []string) string {
	const most = 8
	if len(all) <= most {
		return strings.Join(all, "; ")
	}
	return fmt.Sprintf("%s; and %d more", strings.Join(all[:most], "; "), len(all)-most)
}
