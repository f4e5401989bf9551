package plan

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/lab/model"
)

func (d *stepDrawer) isolate(at time.Duration, uid string, on bool) {
	if d.File.Registry.Count > 0 {
		d.addStep(Step{At: at, Do: Isolate, Server: uid, On: on})
	}
}

func (d *stepDrawer) updateList(at time.Duration, uid, state string) {
	if d.File.Registry.Count > 0 {
		return // servers tell the keepers by themselves
	}
	d.addStep(Step{At: at, Do: UpdateList, Sidecar: ListIndex, Server: uid, State: state})
}

func (d *stepDrawer) drawDelay(v [2]float64) time.Duration { return Seconds(uniform(d.rng, v)) }

// drawServerFault draws what happens to the i-th of living.
func (d *stepDrawer) drawServerFault(fault *Fault, index int, at, end time.Duration) error {
	uid := d.Servers[d.lifetimes[index].index].UID
	process := fault.Do == "die" || fault.Do == "lose" || fault.Do == "flap"
	what := "server " + uid + "'s speed"
	if process {
		what = "server " + uid
	}
	list := d.File.List
	switch fault.Do {
	case "clock":
		d.addStep(Step{At: at, Do: Clock, Server: uid, By: Seconds(fault.Size)})
		return nil
	case "die":
		end = endOfTime
		if fault.Restart != nil {
			end = at + Seconds(*fault.Restart)
		}
	}
	if err := d.claim(what, at, end); err != nil {
		return err
	}
	trouble := func(at time.Duration, v model.Fault) {
		d.addStep(Step{At: at, Do: ServerFault, Server: uid, Trouble: v})
	}
	switch fault.Do {
	case "slow":
		trouble(at, model.Fault{Slow: fault.Size})
		trouble(end, model.Fault{})
	case "hang":
		trouble(at, model.Fault{Hang: true})
		trouble(end, model.Fault{})
	case "steal":
		every := cmp.Or(Seconds(fault.Every), end-at)
		for on := at; on < end; on += 2 * every {
			trouble(on, model.Fault{Stolen: fault.Size})
			trouble(min(on+every, end), model.Fault{})
		}
	case "die":
		d.addStep(Step{At: at, Do: Die, Server: uid})
		if fault.Restart == nil {
			d.lifetimes[index].to = at
			d.updateList(at+d.drawDelay(list.NoticeS), uid, "DELETED")
			return nil
		}
		d.addStep(Step{At: end, Do: Revive, Server: uid})
		d.updateList(end+d.drawDelay(list.AddS), uid, "SERVING")
	case "flap":
		every := Seconds(fault.Every)
		for off := at; off < end; off += 2 * every {
			on := min(off+every, end)
			d.addStep(Step{At: off, Do: Die, Server: uid})
			d.addStep(Step{At: on, Do: Revive, Server: uid})
			d.updateList(on+d.drawDelay(list.AddS), uid, "SERVING")
		}
	case "lose":
		all := LinkEffect{HoldFar: true, HoldNear: true}
		d.addStep(Step{At: at, Do: Link, Server: uid, Effect: all, On: true, Group: -1})
		d.isolate(at, uid, true)
		gone := at + d.drawDelay(list.UnreachableS)
		if gone < end {
			d.updateList(gone, uid, "DELETED")
		}
		d.isolate(end, uid, false)
		d.addStep(Step{At: end, Do: Revive, Server: uid})
		d.addStep(Step{At: end, Do: Link, Server: uid, Effect: all, Group: -1})
		d.updateList(end+d.drawDelay(list.AddS), uid, "SERVING")
	}
	return nil
}

// drawDeployment replaces servers batch by batch, evenly over the time.
func (d *stepDrawer) drawDeployment(fault *Fault, at time.Duration) error {
	chosen, err := d.chooseServers(fault, at, Seconds(fault.At+fault.For))
	if err != nil {
		return err
	}
	drain := cmp.Or(fault.Drain, 4)
	batch := cmp.Or(fault.Batch, 0.1)
	batchSize := max(1, int(math.Round(batch*float64(d.InitialServers))))
	batches := (len(chosen) + batchSize - 1) / batchSize
	available := fault.For - drain
	if available < 0 {
		return fmt.Errorf("the drain of %v s does not fit into %v s", drain, fault.For)
	}
	for b := range batches {
		begin := at
		if batches > 1 {
			begin += Seconds(available * float64(b) / float64(batches-1))
		}
		removed := begin + Seconds(drain)
		for _, i := range chosen[b*batchSize : min((b+1)*batchSize, len(chosen))] {
			old := d.Servers[d.lifetimes[i].index]
			if err := d.claim("server "+old.UID, begin, endOfTime); err != nil {
				return err
			}
			d.lifetimes[i].to = begin
			notified := begin + d.drawDelay(d.File.List.NoticeS)
			d.addStep(Step{At: begin, Do: Drain, Server: old.UID})
			d.updateList(notified, old.UID, "DRAINING")
			d.addStep(Step{At: removed, Do: Remove, Server: old.UID})
			d.updateList(max(notified, removed+d.drawDelay(d.File.List.NoticeS)), old.UID, "DELETED")
			next := len(d.Servers)
			kind := slices.IndexFunc(d.File.Kinds, func(k Kind) bool { return k.Name == old.Kind })
			d.Servers = append(d.Servers, d.drawSpec(next, old.Zone, kind))
			d.lifetimes = append(d.lifetimes, lifetime{next, removed, endOfTime})
			d.addStep(Step{At: removed, Do: Add, Server: d.Servers[next].UID})
			d.updateList(removed+d.drawDelay(d.File.List.AddS), d.Servers[next].UID, "SERVING")
		}
	}
	return nil
}
