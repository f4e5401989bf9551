package replication

import "fmt"

// A step is a moment in the protocol: a message of a given kind is sent or received ("send append", "receive promise"), or a write to
// disk begins or has completed ("write register", "wrote install").

// stepTrigger runs an action at the n-th step with a given name.
type stepTrigger struct {
	name      string
	remaining int
	node      *simNode // only at this node; nil: at any
	to        string   // only messages to this address; empty: to any
	before    bool     // before the step takes effect, otherwise right after it
	action    func(*simNode)
}

// arm activates a trigger, which counts steps from now on.
func (w *clusterSim) arm(s *stepTrigger) { w.triggers = append(w.triggers, s) }

func (w *clusterSim) step(name string, node *simNode, to string) {
	if w.onStep != nil {
		w.onStep(name, node.member.Addr)
	}
	for i := 0; i < len(w.triggers); i++ {
		trigger := w.triggers[i]
		if trigger.name != name || trigger.node != nil && trigger.node != node || trigger.to != "" && trigger.to != to {
			continue
		}
		if trigger.remaining--; trigger.remaining > 0 {
			continue
		}
		w.triggers = append(w.triggers[:i:i], w.triggers[i+1:]...)
		i--
		w.stats.steps++
		w.trace("%v STEP %s at machine %d", w.now, name, node.name)
		if trigger.before {
			trigger.action(node)
		} else {
			w.after(0, func() { trigger.action(node) })
		}
	}
}

// stepNames returns the names of all steps.
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
