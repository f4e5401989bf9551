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
		if err := d.claim(d.processName(process), at, fault.busyUntil(at, end)); err != nil {
			return err
		}
		d.addProcessSteps(fault, process, at, end)
	}
	return nil
}

// processName is the name of a process in errors.
func (d *stepDrawer) processName(process int) string {
	node, isNode := NodeOf(process)
	switch {
	case isNode:
		return NodeName(node)
	case process == LeaderIndex:
		return "the leader of the keepers"
	case process == ListIndex:
		return "the list"
	}
	return d.Sidecars[process].Name
}

// busyUntil is until when no other fault may act on a process that this one acts on: as long as the fault lasts, or until a process that
// ended runs again.
func (f *Fault) busyUntil(at, end time.Duration) time.Duration {
	ends := f.Do == FaultKill || f.Do == FaultTerminate
	switch {
	case ends && f.Restart == nil:
		return endOfTime
	case ends:
		return at + Seconds(*f.Restart) + TermGrace
	}
	return end
}

// addProcessSteps adds the steps of a fault of one process.
func (d *stepDrawer) addProcessSteps(fault *Fault, process int, at, end time.Duration) {
	switch fault.Do {
	case FaultKill, FaultTerminate:
		d.addStep(Step{At: at, Do: StepKind(fault.Do), Sidecar: process})
		if fault.Restart != nil { // the lab waits for the end of the process before it starts the next one
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

// drawJoinOrLeave adds the steps of the sidecars that were drawn to join or leave.
func (d *stepDrawer) drawJoinOrLeave(fault *Fault) error {
	for index, sidecar := range d.Sidecars {
		joins := fault.Do == FaultJoin && sidecar.joined == d.fault+1
		leaves := fault.Do == FaultLeave && sidecar.left == d.fault+1
		switch {
		case joins && sidecar.Started() > 0: // else it runs before the load starts
			d.addStep(Step{At: sidecar.Started(), Do: Start, Sidecar: index})
		case leaves:
			if err := d.claim(sidecar.Name, sidecar.To, endOfTime); err != nil {
				return err
			}
			d.addStep(Step{At: sidecar.To, Do: Term, Sidecar: index})
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
	restart := defaultRollRestart
	if fault.Restart != nil {
		restart = Seconds(*fault.Restart)
	}
	batchSize := max(1, int(math.Round(cmp.Or(fault.Batch, defaultBatch)*float64(len(chosen)))))
	batches := (len(chosen) + batchSize - 1) / batchSize
	for i, sidecar := range chosen {
		begin := at + Seconds(fault.For*float64(i/batchSize)/float64(batches))
		if err := d.claim(d.Sidecars[sidecar].Name, begin, begin+restart+TermGrace); err != nil {
			return err
		}
		d.addStep(Step{At: begin, Do: Term, Sidecar: sidecar})
		d.addStep(Step{At: begin + restart, Do: Start, Sidecar: sidecar})
	}
	return nil
}

// What faults do where the file leaves it out.
const (
	defaultRollRestart = 100 * time.Millisecond // from the end of a sidecar to its restart
	defaultBatch       = 0.1                    // share of the targets
	defaultDrainS      = 4                      // from the drain of a server to its end
)

// TermGrace is the time from SIGTERM to SIGKILL (PROTOCOL: the longest deadline, at least 3 s, and 0.7 s).
const TermGrace = 3700 * time.Millisecond
