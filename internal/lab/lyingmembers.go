package lab

import (
	"fmt"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/link"
	"gradeusher.example/gradeusher/internal/lab/plan"
)

// maxLyingMemberJoinAddresses is how many sidecars a lying member joins at most.
const maxLyingMemberJoinAddresses = 3

// startLyingMembers starts the members that are no sidecars. They join sidecars, which have started already.
func (f *Fleet) startLyingMembers() error {
	for index := range f.plan.LyingMembers() {
		if err := f.startLyingMember(index); err != nil {
			return err
		}
	}
	return nil
}

// startLyingMember starts the lying member of an index, from 0. Behind the relay it has a port, as sidecars have.
func (f *Fleet) startLyingMember(index int) error {
	near := link.Near(f.plan.NearLyingMember(index))
	reservation, err := link.Reserve(near)
	if err != nil {
		return err
	}
	f.peers.reservations = append(f.peers.reservations, reservation)
	name := fmt.Sprintf("l%d", index)
	front, err := f.peers.relay.order(ctl.Order{Do: ctl.CommandFront, UID: name, Front: reservation.Addr.String()})
	if err != nil {
		return err
	}
	args := []string{"liar", "--name", name, "--listen", reservation.Addr.String(), "--advertise", fmt.Sprintf("%s:%d", near, front.Ports[0]),
		"--reach", near.String()}
	joined := 0
	for k, planned := range f.plan.Sidecars {
		if planned.Started() == 0 && joined < maxLyingMemberJoinAddresses {
			args = append(args, "--join", fmt.Sprintf("%s:%d", near, f.peers.relayPorts[k]))
			joined++
		}
	}
	started, err := f.startStandIn(name, args)
	if err != nil {
		return err
	}
	f.lyingMembers = append(f.lyingMembers, started)
	return nil
}

// orderFalseReports has the lying members of a step begin or end their false reports. It returns when the last one had.
func (f *Fleet) orderFalseReports(step *plan.Step) (at int64, err error) {
	for _, index := range step.Nears {
		order := ctl.Order{Do: ctl.CommandFalseReports, Mode: step.Mode, By: int64(step.By), On: step.On}
		event, err := f.lyingMembers[index].order(order)
		if at = event.At; err != nil {
			return at, err
		}
	}
	return at, nil
}
