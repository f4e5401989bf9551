package replication

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// partitionDirections state which messages are lost while a node is partitioned.
var partitionDirections = map[string]func(from, to, partitioned string) bool{
	"both ways": func(from, to, partitioned string) bool { return from == partitioned || to == partitioned },
	"from it":   func(from, _, partitioned string) bool { return from == partitioned },
	"to it":     func(_, to, partitioned string) bool { return to == partitioned },
}

// TestPartitionOf20Seconds partitions one replica of three for 20 s, in both directions or one, and delivers all messages in flight
// late, at the end. Reads and changes are requested at this replica all the time, and changes continue at the others. It guards
// against the replica returning stale state as current, rejecting changes that it cannot decide, or taking long to become a replica
// again.
func TestPartitionOf20Seconds(t *testing.T) {
	var longest, longestCurrent time.Duration
	for name, stops := range partitionDirections {
		for index := range 3 {
			run := &replicaPartition{t: t, cluster: threeNodes(t, 1, TestingKnobs{}), direction: name}
			rejoined, current := run.play(index, stops)
			longest, longestCurrent = max(longest, rejoined), max(longestCurrent, current)
		}
	}
	t.Logf("a replica again after at most %v, current after at most %v", longest, longestCurrent)
}

// replicaPartition is a run in which one of three replicas is partitioned.
type replicaPartition struct {
	t           *testing.T
	cluster     *scriptedCluster
	direction   string
	partitioned string // address of the replica
	other       string // node at which changes continue
	began       time.Duration
	acked       uint64 // newest record acknowledged at the others

	otherChange, partitionedRead, partitionedChange uint64 // calls in progress: a change at the other node, and a read and a change at the partitioned replica
	rev                                             int64
}

// play returns how long after the partition there are three replicas again, and how long until the partitioned one is current.
func (p *replicaPartition) play(index int, stops func(from, to, partitioned string) bool) (rejoined, current time.Duration) {
	p.t.Helper()
	p.partitioned, p.other = p.cluster.replica(index), p.cluster.replica((index+1)%3)
	var late []Envelope
	p.cluster.filter = func(from, to string, m *replicationpb.Message) bool {
		if stops(from, to, p.partitioned) {
			late = append(late, Envelope{Addr: to, Msg: m})
			return false
		}
		return true
	}
	for p.began = p.cluster.now; p.cluster.now-p.began < 20*time.Second; p.cluster.step() {
		p.callOthers()
		p.callPartitioned()
		p.check()
	}
	if p.acked < 20 {
		p.t.Fatalf("%s of %s: %d changes were acknowledged at the others", p.direction, p.partitioned, p.acked)
	}
	p.cluster.filter = nil
	for _, e := range late {
		p.cluster.deliver(e)
	}
	rejoined = p.cluster.until(5*time.Second, p.direction+" of "+p.partitioned+": three replicas", func() bool { return p.cluster.complete(3, 3) })
	current = rejoined + p.cluster.until(5*time.Second, "the replica to be current", func() bool {
		node := p.cluster.nodes[p.partitioned]
		return node.core.Current(p.cluster.clock(node)) && node.core.chain.commitIndex >= p.acked
	})
	return rejoined, current
}

// ended reports whether a call has completed, or none was made.
func (p *replicaPartition) ended(id uint64) bool { return id == 0 || p.cluster.done[id].ID != 0 }

func (p *replicaPartition) callOthers() {
	if !p.ended(p.otherChange) {
		return
	}
	if p.cluster.answered(p.otherChange) {
		p.rev++
		p.acked = p.cluster.done[p.otherChange].Seq
	}
	p.otherChange = p.cluster.submit(p.other, replacing(p.rev, string(rune('a'+p.rev%26))+p.direction), 4*time.Second)
}

func (p *replicaPartition) callPartitioned() {
	if p.ended(p.partitionedRead) {
		p.partitionedRead = p.cluster.read(p.partitioned, time.Second)
	}
	if !p.ended(p.partitionedChange) {
		return
	}
	d := p.cluster.done[p.partitionedChange]
	if d.Outcome == Answered && d.Verdict.Kind != controlstate.Accepted && d.Verdict.Kind != controlstate.Stale {
		p.t.Fatalf("%s of %s: a change at the partitioned replica ended with %v", p.direction, p.partitioned, d.Verdict)
	}
	p.partitionedChange = p.cluster.submit(p.partitioned, replacing(p.cluster.nodes[p.partitioned].core.chain.state.(*toy).rev, "at the cut one"), time.Second)
}

// check compares what the partitioned replica returns with what was acknowledged, from 2 s after the start of the partition.
func (p *replicaPartition) check() {
	if p.cluster.now-p.began < 2*time.Second {
		return
	}
	if d := p.cluster.done[p.partitionedRead]; d.Outcome == Answered && d.Seq+1 < p.acked {
		p.t.Fatalf("%s of %s: a read returned record %d, but record %d was acknowledged", p.direction, p.partitioned, d.Seq, p.acked)
	}
	node := p.cluster.nodes[p.partitioned]
	if node.core.Current(p.cluster.clock(node)) && node.core.chain.commitIndex+1 < p.acked {
		p.t.Fatalf("%s of %s: the replica is current with record %d of %d", p.direction, p.partitioned, node.core.chain.commitIndex, p.acked)
	}
}
