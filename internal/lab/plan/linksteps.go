package plan

import (
	"fmt"
	"time"
)

func (d *drawer) links(t *Fault, at, end time.Duration) error {
	if t.On == "keepers" {
		return d.keeperLinks(t, at, end)
	}
	if t.On == "peers" {
		return d.peerLinks(t, at, end)
	}
	group := -1
	var nears []int
	if t.From != "" {
		for i, s := range d.Sidecars {
			if s.Zone == t.From || s.Name == t.From {
				nears, group = append(nears, i), s.Group
			}
		}
		if len(nears) == 0 {
			return fmt.Errorf("no sidecar is in %s", t.From)
		}
	}
	far := []string{""} // the list
	if t.On == "servers" {
		// Also those that come later: a link is between places. So they are chosen by zone alone, or by name.
		servers, err := d.servers(t, at, at)
		if err != nil {
			return err
		}
		far = nil
		for _, i := range servers {
			far = append(far, d.Servers[d.living[i].index].UID)
		}
	}
	for _, uid := range far {
		d.linkSteps(t, at, end, Step{Sidecar: ListIndex, Server: uid, Nears: nears, Group: group})
	}
	return nil
}

// linkSteps adds the steps of a fault on the links that s names: one where it happens at once, else its beginning and its end.
func (d *drawer) linkSteps(t *Fault, at, end time.Duration, s Step) {
	s.At, s.Do, s.Effect, s.On = at, Link, t.effect(), true
	switch t.Do {
	case "reset":
		s.Do = Reset
	case "half-open":
		s.Do = Forget
	}
	d.step(s)
	if s.Do == Link {
		s.At, s.On = end, false
		d.step(s)
	}
}

// effect is what a fault makes of a link.
func (t *Fault) effect() (e LinkEffect) {
	switch t.Do {
	case "delay":
		e.Delay, e.Jitter = Seconds(t.Size/1000), Seconds(t.Jitter/1000)
	case "silence":
		e.HoldFar, e.HoldNear = t.Way == "to-far", t.Way == "to-near"
	case "partition":
		e.HoldFar, e.HoldNear = true, true
	case "trickle":
		e.Rate = int(t.Size)
	case "loss":
		e.Loss = t.Size
	}
	return e
}

// keeperLinks draws a fault of the links of keepers, to their peers and their clients. Far is the keeper: "to-far" is what it
// hears, whoever called.
func (d *drawer) keeperLinks(t *Fault, at, end time.Duration) error {
	chosen, err := d.keepers(t)
	if err != nil {
		return err
	}
	for _, i := range chosen {
		d.linkSteps(t, at, end, Step{Sidecar: i, From: t.From})
	}
	return nil
}

// peerLinks draws a fault of the links between sidecars: of those chosen, to all others or to those of a zone. Far is who is
// chosen: "to-far" is what he hears, whoever called.
func (d *drawer) peerLinks(t *Fault, at, end time.Duration) error {
	var chosen []int
	for i, s := range d.Sidecars { // also who joins later: a link is between places
		if t.Zone == "" || s.Zone == t.Zone {
			chosen = append(chosen, i)
		}
	}
	chosen, err := choose(d.r, t, chosen, func(i int) string { return d.Sidecars[i].Name })
	if err != nil {
		return err
	}
	d.linkSteps(t, at, end, Step{Sidecar: ListIndex, Peers: true, Nears: chosen, From: t.From})
	return nil
}
