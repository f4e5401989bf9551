package lab

import (
	"fmt"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/link"
	"gradeusher.example/gradeusher/internal/lab/plan"
	"gradeusher.example/gradeusher/internal/lab/proc"
)

// startLyingMembers starts the members that are no sidecars. They join sidecars, which have started already; behind the relay each has a port, as
// sidecars have.
func (f *Fleet) startLyingMembers() error {
	for i := range f.plan.LyingMembers() {
		near := f.plan.NearLyingMember(i)
		p, err := link.Reserve(link.Near(near))
		if err != nil {
			return err
		}
		f.peers.reservations = append(f.peers.reservations, p)
		name := fmt.Sprintf("l%d", i)
		news, err := f.peers.relay.order(ctl.Order{Do: ctl.CommandFront, UID: name, Front: p.Addr.String()})
		if err != nil {
			return err
		}
		own := link.Near(near).String()
		args := []string{"stand-in", "liar", "--name", name, "--listen", p.Addr.String(), "--advertise", fmt.Sprintf("%s:%d", own, news.Ports[0]), "--reach", own}
		for k, s := range f.plan.Sidecars {
			if s.Started() == 0 && len(args) < 8+2*maxJoinAddresses {
				args = append(args, "--join", fmt.Sprintf("%s:%d", own, f.peers.relayPorts[k]))
			}
		}
		c, err := startChild(f.starter, proc.Spec{Name: name, Path: f.self.Path, Log: f.log(name), Env: f.env("TMPDIR=" + f.work), Args: args}, f.handleEvent)
		if err != nil {
			return err
		}
		f.all.Add(c.Process)
		f.lyingMembers = append(f.lyingMembers, c)
	}
	return nil
}

// orderLie has lying members begin or end their lie.
func (f *Fleet) orderLie(s *plan.Step) (at int64, err error) {
	for _, i := range s.Nears {
		n, err := f.lyingMembers[i].order(ctl.Order{Do: ctl.CommandFalseReports, Mode: s.Mode, By: int64(s.By), On: s.On})
		if at = n.At; err != nil {
			return at, err
		}
	}
	return at, nil
}
