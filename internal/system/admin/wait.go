package admin

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Change identifies a change by the number of its record, or by the revision of the configuration that it made.
type Change struct {
	Number   uint64
	Revision int64 // above 0: Number is ignored
}

// ParseChange parses "number:812", "revision:9", or a bare number of a record.
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

// String describes the change for messages.
func (c Change) String() string {
	if c.Revision > 0 {
		return fmt.Sprintf("revision %d", c.Revision)
	}
	return fmt.Sprintf("record %d", c.Number)
}

// changeTracker determines whether a change is in force.
type changeTracker struct {
	change Change
	number uint64 // of the record with the change, or of a later record; 0: not known yet
}

// missing lists the nodes and proxies that lack the change or may lack it. The list is empty if the change is in force at all nodes of
// the view and at all live proxies.
func (c *changeTracker) missing(fleet *Fleet) []string {
	if c.number == 0 {
		c.number = c.findRecord(fleet)
	}
	if c.number == 0 {
		return []string{c.change.String() + " at any keeper"}
	}
	var missing []string
	if !fleet.Current() {
		missing = append(missing, "a current keeper")
	}
	for _, a := range fleet.Nodes {
		switch {
		case a.Status == nil:
			missing = append(missing, "an answer of keeper "+a.Address)
		case a.Status.Number < c.number:
			missing = append(missing, fmt.Sprintf("keeper %s, at record %d", a.Status.Node, a.Status.Number))
		}
	}
	for _, p := range fleet.Proxies {
		if p.Acknowledged < c.number {
			missing = append(missing, fmt.Sprintf("proxy %s, at record %d", p.Node, p.Acknowledged))
		}
	}
	for _, node := range fleet.Unseen {
		missing = append(missing, "proxy "+node+", which follows no keeper that answers")
	}
	return missing
}

// findRecord returns the number of the record with the change or of a later record, or 0 if no node has one. Revisions only rise, so
// the records of any node with the change's revision or a later one include the change.
func (c *changeTracker) findRecord(fleet *Fleet) uint64 {
	if c.change.Number > 0 {
		return c.change.Number
	}
	var number uint64
	for _, a := range fleet.Nodes {
		if s := a.Status; s != nil && s.Revision >= c.change.Revision && (number == 0 || s.Number < number) {
			number = s.Number
		}
	}
	return number
}

// pollInterval is the time between two polls of the nodes.
const pollInterval = 200 * time.Millisecond

// Wait polls until the change is in force at all nodes of the view and at all live proxies, and returns the result of the last poll.
// If ctx ends first, the error lists what is missing and is marked ErrNotApplied.
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

// joinFirst joins the first items and appends the number of those left out.
func joinFirst(all []string) string {
	const maxItems = 8
	if len(all) <= maxItems {
		return strings.Join(all, "; ")
	}
	return fmt.Sprintf("%s; and %d more", strings.Join(all[:maxItems], "; "), len(all)-maxItems)
}
