package plan

import (
	"cmp"
	"math"
	"strings"
	"time"
)

func (d *drawer) process(t *Fault, at, end time.Duration) error {
	chosen, err := d.sidecars(t)
	if err != nil {
		return err
	}
	for _, i := range chosen {
		name := "the list"
		if i >= 0 {
			name = d.Sidecars[i].Name
		}
		if k, ok := NodeOf(i); ok {
			name = NodeName(k)
		} else if i == LeaderIndex {
			name = "the leader of the keepers"
		}
		until := end
		if t.Do == "kill" || t.Do == "term" {
			until = forever
			if t.Restart != nil {
				until = at + Seconds(*t.Restart) + TermGrace
			}
		}
		if err := d.claim(name, at, until); err != nil {
			return err
		}
		switch t.Do {
		case "kill", "term":
			d.step(Step{At: at, Do: t.Do, Sidecar: i})
			if t.Restart != nil {
				// After the end of the process, which the lab waits for.
				d.step(Step{At: at + Seconds(*t.Restart), Do: Start, Sidecar: i})
			}
		case "stop":
			d.step(Step{At: at, Do: Stop, Sidecar: i})
			d.step(Step{At: end, Do: Cont, Sidecar: i})
		default:
			d.step(Step{At: at, Do: Disk, Sidecar: i, Mode: strings.TrimPrefix(t.Do, "disk-")})
			d.step(Step{At: end, Do: Disk, Sidecar: i})
		}
	}
	return nil
}

// comeAndGo has sidecars start or end that were drawn to.
func (d *drawer) comeAndGo(t *Fault) error {
	for i, s := range d.Sidecars {
		switch {
		case t.Do == "join" && s.joined == d.fault+1:
			if s.Started() > 0 { // else it stands as the load starts
				d.step(Step{At: s.Started(), Do: Start, Sidecar: i})
			}
		case t.Do == "leave" && s.left == d.fault+1:
			if err := d.claim(s.Name, s.To, forever); err != nil {
				return err
			}
			d.step(Step{At: s.To, Do: Term, Sidecar: i})
		}
	}
	return nil
}

// roll ends sidecars batch by batch, evenly over the time, and starts each again.
func (d *drawer) roll(t *Fault, at time.Duration) error {
	chosen, err := d.sidecars(t)
	if err != nil {
		return err
	}
	restart := 100 * time.Millisecond
	if t.Restart != nil {
		restart = Seconds(*t.Restart)
	}
	each := max(1, int(math.Round(cmp.Or(t.Batch, 0.1)*float64(len(chosen)))))
	batches := (len(chosen) + each - 1) / each
	for i, k := range chosen {
		begin := at + Seconds(t.For*float64(i/each)/float64(batches))
		if err := d.claim(d.Sidecars[k].Name, begin, begin+restart+TermGrace); err != nil {
			return err
		}
		d.step(Step{At: begin, Do: Term, Sidecar: k})
		d.step(Step{At: begin + restart, Do: Start, Sidecar: k})
	}
	return nil
}

// TermGrace is how long a process that was told to end by SIGTERM has until SIGKILL (PROTOCOL: the longest deadline, at least 3 s,
// and 0.7 s).
const TermGrace = 3700 * time.Millisecond
