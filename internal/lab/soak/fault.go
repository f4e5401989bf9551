package soak

import (
	"fmt"
	"strings"
	"time"
)

// Direction says which bytes a partition holds back.
type Direction int

// The directions of a partition.
const (
	BothDirections Direction = iota
	Outbound                 // what the target sends
	Inbound                  // what is sent to the target
	directions
)

// Fault is a fault of a plan. It ends by itself.
type Fault struct {
	Kind       Kind
	Target     string   // IP of a machine, name of a zone or tenant, address of a server, or a key; empty: the fault is done to all
	Other      string   // zone that is evacuated meanwhile
	Peer       string   // zone that the target zone does not see
	Servers    []string // addresses of the servers from which a proxy is partitioned
	Start      time.Duration
	Length     time.Duration
	Down       time.Duration // of servers before they start again, and of a proxy after its graceful shutdown
	WarmUpLead time.Duration // by which the servers of an evacuated zone begin to warm up before the evacuation ends; 0: they do not
	Direction  Direction     // of a partition
	Delay      time.Duration // of slow links, in each direction
	Jitter     time.Duration // of slow links, added to Delay, at most
	LossRate   float64       // part of the answers that are lost, from 0 to 1
}

func (f *Fault) end() time.Duration { return f.Start + f.Length }

// String returns the fault as a line.
func (f Fault) String() string {
	text := fmt.Sprintf("%6.3f s to %6.3f s  %s %s", f.Start.Seconds(), f.end().Seconds(), f.Kind, f.Target)
	if f.Other != "" {
		text += ", evacuated: " + f.Other
	}
	if f.Peer != "" {
		text += " from " + f.Peer
	}
	if len(f.Servers) > 0 {
		text += ": " + strings.Join(f.Servers, ", ")
	}
	if f.Down > 0 {
		text += fmt.Sprintf(", down %v", f.Down.Round(time.Millisecond))
	}
	if f.WarmUpLead > 0 {
		text += fmt.Sprintf(", cold %v before it is taken back", f.WarmUpLead.Round(time.Millisecond))
	}
	if f.Direction != BothDirections {
		text += ", " + [directions]string{Outbound: "outward only", Inbound: "inward only"}[f.Direction]
	}
	if f.Delay > 0 {
		text += fmt.Sprintf(", %v and up to %v more", f.Delay.Round(time.Millisecond), f.Jitter.Round(time.Millisecond))
	}
	if f.LossRate > 0 {
		text += fmt.Sprintf(", share %.2f", f.LossRate)
	}
	return strings.TrimRight(text, " ")
}
