package plan

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/lab/model"
)

func (d *drawer) silent(at time.Duration, uid string, on bool) {
	if d.File.Registry.Count > 0 {
		d.step(Step{At: at, Do: Isolate, Server: uid, On: on})
	}
}

func (d *drawer) tell(at time.Duration, uid, state string) {
	if d.File.Registry.Count > 0 {
		return // servers tell the keepers by themselves
	}
	d.step(Step{At: at, Do: UpdateList, Sidecar: ListIndex, Server: uid, State: state})
}

func (d *drawer) late(v [2]float64) time.Duration { return Seconds(between(d.r, v)) }

// server draws what happens to the i-th of living.
func (d *drawer) server(t *Fault, i int, at, end time.Duration) error {
	uid := d.Servers[d.living[i].index].UID
	process := t.Do == "die" || t.Do == "lose" || t.Do == "flap"
	what := "server " + uid + "'s speed"
	if process {
		what = "server " + uid
	}
	list := d.File.List
	switch t.Do {
	case "clock":
		d.step(Step{At: at, Do: Clock, Server: uid, By: Seconds(t.Size)})
		return nil
	case "die":
		end = forever
		if t.Restart != nil {
			end = at + Seconds(*t.Restart)
		}
	}
	if err := d.claim(what, at, end); err != nil {
		return err
	}
	trouble := func(at time.Duration, v model.Fault) { d.step(Step{At: at, Do: ServerFault, Server: uid, Trouble: v}) }
	switch t.Do {
	case "slow":
		trouble(at, model.Fault{Slow: t.Size})
		trouble(end, model.Fault{})
	case "hang":
		trouble(at, model.Fault{Hang: true})
		trouble(end, model.Fault{})
	case "steal":
		every := cmp.Or(Seconds(t.Every), end-at)
		for on := at; on < end; on += 2 * every {
			trouble(on, model.Fault{Stolen: t.Size})
			trouble(min(on+every, end), model.Fault{})
		}
	case "die":
		d.step(Step{At: at, Do: Die, Server: uid})
		if t.Restart == nil {
			d.living[i].to = at
			d.tell(at+d.late(list.NoticeS), uid, "DELETED")
			return nil
		}
		d.step(Step{At: end, Do: Revive, Server: uid})
		d.tell(end+d.late(list.AddS), uid, "SERVING")
	case "flap":
		every := Seconds(t.Every)
		for off := at; off < end; off += 2 * every {
			on := min(off+every, end)
			d.step(Step{At: off, Do: Die, Server: uid})
			d.step(Step{At: on, Do: Revive, Server: uid})
			d.tell(on+d.late(list.AddS), uid, "SERVING")
		}
	case "lose":
		all := LinkEffect{HoldFar: true, HoldNear: true}
		d.step(Step{At: at, Do: Link, Server: uid, Effect: all, On: true, Group: -1})
		d.silent(at, uid, true)
		gone := at + d.late(list.UnreachableS)
		if gone < end {
			d.tell(gone, uid, "DELETED")
		}
		d.silent(end, uid, false)
		d.step(Step{At: end, Do: Revive, Server: uid})
		d.step(Step{At: end, Do: Link, Server: uid, Effect: all, Group: -1})
		d.tell(end+d.late(list.AddS), uid, "SERVING")
	}
	return nil
}

// deploy replaces servers batch by batch, evenly over the time.
func (d *drawer) deploy(t *Fault, at time.Duration) error {
	chosen, err := d.servers(t, at, Seconds(t.At+t.For))
	if err != nil {
		return err
	}
	drain := cmp.Or(t.Drain, 4)
	batch := cmp.Or(t.Batch, 0.1)
	each := max(1, int(math.Round(batch*float64(d.InitialServers))))
	batches := (len(chosen) + each - 1) / each
	room := t.For - drain
	if room < 0 {
		return fmt.Errorf("the drain of %v s does not fit into %v s", drain, t.For)
	}
	for b := range batches {
		begin := at
		if batches > 1 {
			begin += Seconds(room * float64(b) / float64(batches-1))
		}
		over := begin + Seconds(drain)
		for _, i := range chosen[b*each : min((b+1)*each, len(chosen))] {
			old := d.Servers[d.living[i].index]
			if err := d.claim("server "+old.UID, begin, forever); err != nil {
				return err
			}
			d.living[i].to = begin
			told := begin + d.late(d.File.List.NoticeS)
			d.step(Step{At: begin, Do: Drain, Server: old.UID})
			d.tell(told, old.UID, "DRAINING")
			d.step(Step{At: over, Do: Remove, Server: old.UID})
			d.tell(max(told, over+d.late(d.File.List.NoticeS)), old.UID, "DELETED")
			next := len(d.Servers)
			kind := slices.IndexFunc(d.File.Kinds, func(k Kind) bool { return k.Name == old.Kind })
			d.Servers = append(d.Servers, d.spec(next, old.Zone, kind))
			d.living = append(d.living, life{next, over, forever})
			d.step(Step{At: over, Do: Add, Server: d.Servers[next].UID})
			d.tell(over+d.late(d.File.List.AddS), d.Servers[next].UID, "SERVING")
		}
	}
	return nil
}
