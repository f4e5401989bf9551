package plan

import (
	"cmp"
	"math"
	"time"
)

// drawProcessFault draws the processes that a fault acts on, and adds its steps.
func (d *stepDrawer) drawProcessFault(fault *Fault, at, end time.Duration) error {
	chosen, err := d.chooseProcesses(fault)
	if err != nil {
		return err
	}
	for _, process := range chosen {
		name := "the list"
		if process >= 0 {
			name = d.Sidecars[process].Name
		}
		if k, ok := NodeOf(process); ok {
			name = NodeName(k)
		} else if process == LeaderIndex {
			name = "the leader of the keepers"
		}
		until := end
		if fault.Do == FaultKill || fault.Do == FaultTerminate {
			until = endOfTime
			if fault.Restart != nil {
				until = at + Seconds(*fault.Restart) + TermGrace
			}
		}
		if err := d.claim(name, at, until); err != nil {
			return err
		}
		switch fault.Do {
		case FaultKill, FaultTerminate:
			d.addStep(Step{At: at, Do: StepKind(fault.Do), Sidecar: process})
			if fault.Restart != nil {
				// The lab waits for the end of the process.
				d.addStep(Step{At: at + Seconds(*fault.Restart), Do: Start, Sidecar: process})
			}
		case FaultPause:
			d.addStep(Step{At: at, Do: Stop, Sidecar: process})
			d.addStep(Step{At: end, Do: Cont, Sidecar: process})
		default:
			d.addStep(Step{At: at, Do: Disk, Sidecar: process, Mode: stepModes[fault.Do]})
			d.addStep(Step{At: end, Do: Disk, Sidecar: process})
		}
	}
	return nil
}

// drawJoinOrLeave adds the steps of the sidecars that were drawn to join or leave.
func (d *stepDrawer) drawJoinOrLeave(fault *Fault) error {
	for i, s := range d.Sidecars {
		switch {
		case fault.Do == FaultJoin && s.joined == d.fault+1:
			if s.Started() > 0 { // else it runs before the load starts
				d.addStep(Step{At: s.Started(), Do: Start, Sidecar: i})
			}
		case fault.Do == FaultLeave && s.left == d.fault+1:
			if err := d.claim(s.Name, s.To, endOfTime); err != nil {
				return err
			}
			d.addStep(Step{At: s.To, Do: Term, Sidecar: i})
		}
	}
	return nil
}

// drawRollingRestart ends and restarts sidecars batch by batch, evenly over the time of the fault.
func (d *stepDrawer) drawRollingRestart(fault *Fault, at time.Duration) error {
	chosen, err := d.chooseProcesses(fault)
	if err != nil {
		return err
	}
	restart := 100 * time.Millisecond
	if fault.Restart != nil {
		restart = Seconds(*fault.Restart)
	}
	batchSize := max(1, int(math.Round(cmp.Or(fault.Batch, 0.1)*float64(len(chosen)))))
	batches := (len(chosen) + batchSize - 1) / batchSize
	for i, k := range chosen {
		begin := at + Seconds(fault.For*float64(i/batchSize)/float64(batches))
		if err := d.claim(d.Sidecars[k].Name, begin, begin+restart+TermGrace); err != nil {
			return err
		}
		d.addStep(Step{At: begin, Do: Term, Sidecar: k})
		d.addStep(Step{At: begin + restart, Do: Start, Sidecar: k})
	}
	return nil
}

// TermGrace is the time from SIGTERM to SIGKILL (PROTOCOL: the longest deadline, at least 3 s,
// and 0.7 s).
const TermGrace = 3700 * time.Millisecond
