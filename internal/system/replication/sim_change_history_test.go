package replication

import (
	"fmt"
	"slices"
	"strings"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

// changeHistory is what is known of a change, over all its attempts.
type changeHistory struct {
	attempts int  // number of attempts sent
	refused  int  // of those, the ones that are certain not to be applied
	rejected bool // was reported as stale or invalid, so it must never be applied
	acked    bool
}

// keyOf returns the key of a change; all attempts of one change have the same key.
func keyOf(ch controlstate.Change) string {
	switch ch.Op {
	case controlstate.OpEvacuate, controlstate.OpReadmit:
		return fmt.Sprintf("%d zone %s fence %d", ch.Op, ch.Zone, ch.Base)
	case controlstate.OpNone:
		return "note " + ch.Zone
	}
	return registerKey(ch.Op, ch.Base, ch.Body)
}

func (w *clusterSim) historyOf(key string) *changeHistory {
	l := w.histories[key]
	if l == nil {
		l = &changeHistory{}
		w.histories[key] = l
	}
	return l
}

func (a *simCall) isInvalid() bool { return strings.HasPrefix(string(a.change.Body), "bad") }

// committed records that a record has just been committed for the first time.
func (w *clusterSim) committed(r controlstate.Record) {
	key := keyOf(controlstate.Change{Op: r.Op, Base: r.Base, Body: r.Body, Zone: r.Zone})
	if seq := w.acceptedAt[key]; seq > 0 {
		w.fail(fmt.Errorf("%s was applied twice, as records %d and %d", key, seq, r.Seq))
	}
	w.acceptedAt[key] = r.Seq
	l := w.historyOf(key)
	if l.rejected {
		w.fail(fmt.Errorf("%s was reported as stale or invalid, but was applied", key))
	}
	if z := w.zoneOf(r.Zone); z != nil && z.acknowledged && z.wanted != r.Op {
		w.fail(fmt.Errorf("%s, an old change, undid a later acknowledged change of its zone", key))
	}
}

// checkHistories compares what was applied with what was refused.
func (w *clusterSim) checkHistories() {
	for key, l := range w.histories {
		if l.attempts > 0 && l.refused == l.attempts && w.acceptedAt[key] > 0 {
			w.fail(fmt.Errorf("all %d attempts of %s were refused, but it was applied", l.attempts, key))
		}
		if l.acked && w.acceptedAt[key] == 0 && !strings.Contains(key, "zone") {
			w.fail(fmt.Errorf("%s was acknowledged, but is lost", key))
		}
	}
	bases := map[int64][]string{}
	for key, l := range w.histories {
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
