package replication

import "fmt"

// A step is a moment in the protocol: a message of a kind goes out or comes in ("send append", "receive promise"), a write
// to disk begins or has come about ("write register", "wrote install").

// armedStep has something done at the n-th step of a name.
type armedStep struct {
	name   string
	left   int
	at     *machine // only there; nil: anywhere
	to     string   // only messages to this address; empty: to any
	before bool     // before the step has its effect, otherwise right after it
	do     func(*machine)
}

// arm waits for the n-th step of a name from now on.
func (w *world) arm(s *armedStep) { w.armed = append(w.armed, s) }

func (w *world) step(name string, m *machine, to string) {
	if w.onStep != nil {
		w.onStep(name, m.member.Addr)
	}
	for i := 0; i < len(w.armed); i++ {
		s := w.armed[i]
		if s.name != name || s.at != nil && s.at != m || s.to != "" && s.to != to {
			continue
		}
		if s.left--; s.left > 0 {
			continue
		}
		w.armed = append(w.armed[:i:i], w.armed[i+1:]...)
		i--
		w.stats.steps++
		w.trace("%v STEP %s at machine %d", w.now, name, m.name)
		if s.before {
			s.do(m)
		} else {
			w.after(0, func() { s.do(m) })
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
