package plan

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/lab/model"
	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// isolate adds a step that begins or ends the isolation of a server's machine from the registry.
func (d *stepDrawer) isolate(at time.Duration, uid string, on bool) {
	if d.File.Registry.Count > 0 {
		d.addStep(Step{At: at, Do: Isolate, Server: uid, On: on})
	}
}

// updateList adds a step by which the list learns the state of a server.
func (d *stepDrawer) updateList(at time.Duration, uid string, state list.State) {
	if d.File.Registry.Count > 0 {
		return // servers register by themselves
	}
	d.addStep(Step{At: at, Do: UpdateList, Sidecar: ListIndex, Server: uid, State: string(state)})
}

// drawDelay draws a delay of the list, in a range of seconds.
func (d *stepDrawer) drawDelay(v [2]float64) time.Duration { return Seconds(uniform(d.rng, v)) }

// drawServerFault draws the steps of a fault of one server, by its index in lifetimes. Faults that change a server's speed exclude each
// other, and so do those that end its process.
func (d *stepDrawer) drawServerFault(fault *Fault, index int, at, end time.Duration) error {
	uid := d.Servers[d.lifetimes[index].index].UID
	switch fault.Do {
	case FaultClockJump:
		d.addStep(Step{At: at, Do: Clock, Server: uid, By: Seconds(fault.Size)})
		return nil
	case FaultCrash, FaultFlap, FaultMachineLoss:
		return d.drawServerRestart(fault, index, at, end)
	}
	if err := d.claim("server "+uid+"'s speed", at, end); err != nil {
		return err
	}
	switch fault.Do {
	case FaultSlow:
		d.addServerFault(uid, at, end, model.Fault{Slow: fault.Size})
	case FaultHang:
		d.addServerFault(uid, at, end, model.Fault{Hang: true})
	case FaultSteal:
		every := cmp.Or(Seconds(fault.Every), end-at)
		for on := at; on < end; on += 2 * every {
			d.addServerFault(uid, on, min(on+every, end), model.Fault{Stolen: fault.Size})
		}
	}
	return nil
}

// addServerFault adds the steps that begin and end a fault state of a server.
func (d *stepDrawer) addServerFault(uid string, from, to time.Duration, fault model.Fault) {
	d.addStep(Step{At: from, Do: ServerFault, Server: uid, Trouble: fault})
	d.addStep(Step{At: to, Do: ServerFault, Server: uid})
}

// drawServerRestart draws the steps of a fault that ends the process of a server, or separates its machine from everybody.
func (d *stepDrawer) drawServerRestart(fault *Fault, index int, at, end time.Duration) error {
	uid := d.Servers[d.lifetimes[index].index].UID
	neverRestarts := fault.Do == FaultCrash && fault.Restart == nil
	switch {
	case neverRestarts:
		end = endOfTime
	case fault.Do == FaultCrash:
		end = at + Seconds(*fault.Restart)
	}
	if err := d.claim("server "+uid, at, end); err != nil {
		return err
	}
	switch {
	case neverRestarts:
		d.addStep(Step{At: at, Do: Die, Server: uid})
		d.lifetimes[index].to = at
		d.updateList(at+d.drawDelay(d.File.List.NoticeS), uid, list.Deleted)
	case fault.Do == FaultCrash:
		d.addRestart(uid, at, end)
	case fault.Do == FaultFlap:
		every := Seconds(fault.Every)
		for off := at; off < end; off += 2 * every {
			d.addRestart(uid, off, min(off+every, end))
		}
	case fault.Do == FaultMachineLoss:
		d.addLoss(uid, at, end)
	}
	return nil
}

// addRestart adds the end of the process of a server, its new start, and the list's update.
func (d *stepDrawer) addRestart(uid string, end, start time.Duration) {
	d.addStep(Step{At: end, Do: Die, Server: uid})
	d.addStep(Step{At: start, Do: Revive, Server: uid})
	d.updateList(start+d.drawDelay(d.File.List.AddS), uid, list.Serving)
}

// addLoss adds the loss of a machine and its return with a new process.
func (d *stepDrawer) addLoss(uid string, at, end time.Duration) {
	everything := LinkEffect{HoldFar: true, HoldNear: true}
	d.addStep(Step{At: at, Do: Link, Server: uid, Effect: everything, On: true, Group: noGroup})
	d.isolate(at, uid, true)
	if gone := at + d.drawDelay(d.File.List.UnreachableS); gone < end {
		d.updateList(gone, uid, list.Deleted)
	}
	d.isolate(end, uid, false)
	d.addStep(Step{At: end, Do: Revive, Server: uid})
	d.addStep(Step{At: end, Do: Link, Server: uid, Effect: everything, Group: noGroup})
	d.updateList(end+d.drawDelay(d.File.List.AddS), uid, list.Serving)
}

// drawDeployment replaces servers batch by batch, evenly over the time of the fault.
func (d *stepDrawer) drawDeployment(fault *Fault, at time.Duration) error {
	chosen, err := d.chooseServers(fault, at, Seconds(fault.At+fault.For))
	if err != nil {
		return err
	}
	drain := cmp.Or(fault.Drain, defaultDrainS)
	batch := cmp.Or(fault.Batch, defaultBatch)
	batchSize := max(1, int(math.Round(batch*float64(d.InitialServers))))
	batches := (len(chosen) + batchSize - 1) / batchSize
	available := fault.For - drain
	if available < 0 {
		return fmt.Errorf("the drain of %v s does not fit into %v s", drain, fault.For)
	}
	for batchIndex := range batches {
		begin := at
		if batches > 1 {
			begin += Seconds(available * float64(batchIndex) / float64(batches-1))
		}
		for _, index := range chosen[batchIndex*batchSize : min((batchIndex+1)*batchSize, len(chosen))] {
			if err := d.replaceServer(index, begin, begin+Seconds(drain)); err != nil {
				return err
			}
		}
	}
	return nil
}

// replaceServer drains a server, by its index in lifetimes, and replaces it by another one of its zone and kind when its process ends.
func (d *stepDrawer) replaceServer(index int, drained, removed time.Duration) error {
	old := d.Servers[d.lifetimes[index].index]
	if err := d.claim("server "+old.UID, drained, endOfTime); err != nil {
		return err
	}
	d.lifetimes[index].to = drained
	notified := drained + d.drawDelay(d.File.List.NoticeS)
	d.addStep(Step{At: drained, Do: Drain, Server: old.UID})
	d.updateList(notified, old.UID, list.Draining)
	d.addStep(Step{At: removed, Do: Remove, Server: old.UID})
	d.updateList(max(notified, removed+d.drawDelay(d.File.List.NoticeS)), old.UID, list.Deleted)
	next := len(d.Servers)
	kind := slices.IndexFunc(d.File.Kinds, func(k Kind) bool { return k.Name == old.Kind })
	successor := d.drawSpec(next, old.Zone, kind)
	d.Servers = append(d.Servers, successor)
	d.lifetimes = append(d.lifetimes, lifetime{next, removed, endOfTime})
	d.addStep(Step{At: removed, Do: Add, Server: successor.UID})
	d.updateList(removed+d.drawDelay(d.File.List.AddS), successor.UID, list.Serving)
	return nil
}
