package replication

import (
	"fmt"
	"math/rand/v2"
	"time"
)

type faultKind int

const (
	faultKill faultKind = iota
	faultPowerAll
	faultPause
	faultPartitionPair
	faultPartitionOneWay
	faultIsolate
	faultSplit
	faultLoss
	faultDelay
	faultDiskFull
	faultDiskSlow
	faultDiskStall
	faultWipe
	faultReplace
	faultLeave
	faultPowerAfterAck
	faultWipeAfterAck
	faultDisksFullButOne
	faultZone         // all nodes of a zone are affected by act
	faultGroup        // some nodes are affected by act at the same time
	faultStep         // act is injected at the n-th step with a given name
	faultReplaceTwice // replaces a node, and soon afterwards its successor
	faultJoin         // adds a node
	faultProxy        // restarts, pauses or partitions a proxy
	faultKinds
)

var faultNames = [...]string{"kill", "power all", "freeze", "cut pair", "cut one way", "isolate", "split", "loss", "slack", "full disk",
	"slow disk", "stalled disk", "wipe", "replace", "leave", "power all after ack", "wipe after ack",
	"full disks but one, which is wiped after ack", "zone", "group", "step", "replace twice", "join", "proxy"}

// acts are the faults that may affect several nodes at once, or be injected at a step.
var acts = [...]faultKind{faultKill, faultPause, faultIsolate, faultWipe, faultPowerAll, faultReplace, faultLeave, faultDiskStall}

type fault struct {
	at       time.Duration
	kind     faultKind
	a, b     int // nodes
	duration time.Duration
	n        int
	act      faultKind // of a zone, group or step
	step     string
	before   bool
}

func (f fault) String() string {
	s := fmt.Sprintf("%v: %s of %d (other %d) for %v, %d", f.at, faultNames[f.kind], f.a, f.b, f.duration, f.n)
	switch f.kind {
	case faultZone, faultGroup:
		s += ": " + faultNames[f.act]
	case faultStep:
		s += fmt.Sprintf(": %s at %q, before %v", faultNames[f.act], f.step, f.before)
	}
	return s
}

// faultsFor draws the faults of a seed.
func faultsFor(rng *rand.Rand, machines int, until time.Duration) []fault {
	var out []fault
	// Half of the seeds have their faults in bursts, so that a fault occurs before the previous one has been repaired.
	bursts := []time.Duration{}
	if rng.IntN(2) == 0 {
		for range 1 + rng.IntN(4) {
			bursts = append(bursts, 3*time.Second+time.Duration(rng.Int64N(int64(until-5*time.Second))))
		}
	}
	names := stepNames()
	for range 3 + rng.IntN(14+4*len(bursts)) {
		f := fault{
			at: 3*time.Second + time.Duration(rng.Int64N(int64(until-3*time.Second))), kind: faultKind(rng.IntN(int(faultKinds))),
			a: rng.IntN(machines), b: rng.IntN(machines), n: rng.IntN(1 << 16),
			duration: time.Duration(50+rng.IntN(3000)) * time.Millisecond,
			act:      acts[rng.IntN(len(acts))], step: names[rng.IntN(len(names))], before: rng.IntN(2) == 0,
		}
		if rng.IntN(4) == 0 {
			f.kind = faultStep
		}
		if len(bursts) > 0 {
			f.at = bursts[rng.IntN(len(bursts))] + time.Duration(rng.Int64N(int64(2*time.Second)))
		}
		out = append(out, f)
	}
	if until > faultsEnd {
		for range 1 + rng.IntN(2) {
			out = append(out, longOutage(rng, machines, until))
		}
	}
	return out
}

// longOutage returns a fault that partitions or stops a node for 20 s and more.
func longOutage(rng *rand.Rand, machines int, until time.Duration) fault {
	kinds := [...]faultKind{faultIsolate, faultIsolate, faultPartitionPair, faultPause, faultKill, faultSplit}
	dur := 20*time.Second + time.Duration(rng.IntN(4000))*time.Millisecond
	return fault{
		at: 3*time.Second + time.Duration(rng.Int64N(int64(until-dur-3*time.Second))), kind: kinds[rng.IntN(len(kinds))],
		a: rng.IntN(machines), b: rng.IntN(machines), n: rng.IntN(1 << 16), duration: dur,
	}
}
