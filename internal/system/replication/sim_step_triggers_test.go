package replication

import "fmt"

// A step is a moment in the protocol: a message of a kind goes out or comes in ("send append", "receive promise"), a write
// to disk begins or has come about ("write register", "wrote install").

// stepTrigger has something done at the n-th step of a name.
type stepTrigger struct {
	name      string
	remaining int
	node      *simNode // only there; nil: anywhere
	to        string   // only messages to this address; empty: to any
	before    bool     // before the step has its effect, otherwise right after it
	action    func(*simNode)
}

// arm waits for the n-th step of a name from now on.
func (w *clusterSim) arm(s *stepTrigger) { w.triggers = append(w.triggers, s) }

func (w *clusterSim) step(name string, m *simNode, to string) {
	if w.onStep != nil {
		w.onStep(name, m.member.Addr)
	}
	for i := 0; i < len(w.triggers); i++ {
		s := w.triggers[i]
		if s.name != name || s.node != nil && s.node != m || s.to != "" && s.to != to {
			continue
		}
		if s.remaining--; s.remaining > 0 {
			continue
		}
		w.triggers = append(w.triggers[:i:i], w.triggers[i+1:]...)
		i--
		w.stats.steps++
		w.trace("%v STEP %s at machine %d", w.now, name, m.name)
		if s.before {
			s.action(m)
		} else {
			w.after(0, func() { s.action(m) })
		}
	}
}

// stepNames lists all steps there are.
func stepNames() []string {
	var out []string
	fields := messageNames()
	for _, k := range fields {
		out = append(out, "send "+k, "receive "+k)
	}
	for kind := DiskSaveMeta; kind <= DiskInstall; kind++ {
		out = append(out, fmt.Sprintf("write %s", writeNames[kind]), fmt.Sprintf("wrote %s", writeNames[kind]))
	}
	return out
}
