package replication

import (
	"fmt"
	"slices"
	"strings"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

// ledgerEntry is what is known of a change, over all its tries.
type ledgerEntry struct {
	tries   int  // sent
	refused int  // of them, those that are certain not to have come about
	judged  bool // was called stale or invalid, so it must never come about
	acked   bool
}

// keyOf names a change; the tries of one have the same name.
func keyOf(ch controlstate.Change) string {
	switch ch.Op {
	case controlstate.OpEvacuate, controlstate.OpReadmit:
		return fmt.Sprintf("%d zone %s fence %d", ch.Op, ch.Zone, ch.Base)
	case controlstate.OpNone:
		return "note " + ch.Zone
	}
	return registerKey(ch.Op, ch.Base, ch.Body)
}

func (w *world) entryOf(key string) *ledgerEntry {
	l := w.ledger[key]
	if l == nil {
		l = &ledgerEntry{}
		w.ledger[key] = l
	}
	return l
}

func (a *asked) bad() bool { return strings.HasPrefix(string(a.change.Body), "bad") }

// committed takes note of a record that was committed first just now.
func (w *world) committed(r controlstate.Record) {
	key := keyOf(controlstate.Change{Op: r.Op, Base: r.Base, Body: r.Body, Zone: r.Zone})
	if seq := w.takenAt[key]; seq > 0 {
		w.fail(fmt.Errorf("%s came about twice, as records %d and %d", key, seq, r.Seq))
	}
	w.takenAt[key] = r.Seq
	l := w.entryOf(key)
	if l.judged {
		w.fail(fmt.Errorf("%s was called stale or invalid and came about", key))
	}
	if z := w.zoneOf(r.Zone); z != nil && z.settled && z.want != r.Op {
		w.fail(fmt.Errorf("%s, an old one, undid the later change of its zone that was acknowledged", key))
	}
}

// checkLedger holds what came about against what was refused.
func (w *world) checkLedger() {
	for key, l := range w.ledger {
		if l.tries > 0 && l.refused == l.tries && w.takenAt[key] > 0 {
			w.fail(fmt.Errorf("all %d tries of %s were refused, and it came about", l.tries, key))
		}
		if l.acked && w.takenAt[key] == 0 && !strings.Contains(key, "zone") {
			w.fail(fmt.Errorf("%s was acknowledged and is gone", key))
		}
	}
	bases := map[int64][]string{}
	for key, l := range w.ledger {
		var op, base int64
		var body string
		if n, _ := fmt.Sscanf(key, "%d %d %s", &op, &base, &body); n == 3 && l.acked && !slices.Contains(bases[base], key) {
			bases[base] = append(bases[base], key)
		}
	}
	for base, keys := range bases {
		if len(keys) > 1 {
			w.fail(fmt.Errorf("several changes of version %d were acknowledged: %v", base, keys))
		}
	}
}
