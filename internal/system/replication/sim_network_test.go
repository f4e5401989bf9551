package replication

import (
	"reflect"
	"strings"
	"time"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// outside is the address of all processes that are neither node nor proxy: operators and their clients.
const outside = "outside"

// maxDelayedMessages is how many messages a partitioned path retains, like the buffers of its connections.
const maxDelayedMessages = 200

// partitionedPath is one direction between two addresses in which no messages are delivered.
type partitionedPath struct {
	until   time.Duration
	late    bool // messages sent in the meantime arrive after the partition
	delayed []func()
}

// block partitions one direction between two addresses.
func (w *clusterSim) block(from, to string, length time.Duration, late bool) {
	if from == to || w.isOutside(from) && w.isOutside(to) {
		return
	}
	if !w.isOutside(from) && !w.isOutside(to) {
		w.recordDisturbance()
	}
	k := [2]string{from, to}
	l := w.partitioned[k]
	if l == nil {
		l = &partitionedPath{late: late}
		w.partitioned[k] = l
	}
	l.until = max(l.until, w.now+length)
	w.after(length, func() {
		if w.partitioned[k] == l && w.now >= l.until {
			w.healPath(k)
		}
	})
}

// isOutside reports whether the address is not a node's.
func (w *clusterSim) isOutside(addr string) bool {
	return addr == outside || strings.HasPrefix(addr, proxyPrefix)
}

// healPath ends the partition of a path.
func (w *clusterSim) healPath(k [2]string) {
	l := w.partitioned[k]
	if l == nil {
		return
	}
	delete(w.partitioned, k)
	if !w.isOutside(k[0]) && !w.isOutside(k[1]) {
		w.recordDisturbance()
	}
	w.stats.lateMessages += len(l.delayed)
	for i, do := range l.delayed {
		w.after(time.Millisecond+time.Duration(i)*10*time.Microsecond, do)
	}
}

// connected reports whether neither direction between two addresses is partitioned.
func (w *clusterSim) connected(a, b string) bool {
	return w.partitioned[[2]string{a, b}] == nil && w.partitioned[[2]string{b, a}] == nil
}

// transmit delivers something from one address to another, unless the path is partitioned or loses it.
func (w *clusterSim) transmit(from, to string, delay time.Duration, onArrival func()) {
	if l := w.partitioned[[2]string{from, to}]; l != nil {
		if l.late && len(l.delayed) < maxDelayedMessages {
			l.delayed = append(l.delayed, onArrival)
		}
		return
	}
	if w.rng.Float64() < w.loss {
		return
	}
	delay += time.Duration(w.rng.ExpFloat64() * float64(delay) / 4)
	if w.extraDelay > 0 && w.rng.IntN(4) == 0 {
		delay += time.Duration(w.rng.Int64N(int64(w.extraDelay)))
	}
	w.after(delay, onArrival)
}

func (w *clusterSim) deliver(from *simNode, envelope Envelope) {
	kind := kindOf(envelope.Msg)
	core := from.core
	if w.step("send "+kind, from, envelope.Addr); from.core != core {
		return
	}
	n := 1
	if w.rng.IntN(50) == 0 {
		n = 2
	}
	for range n {
		d := time.Millisecond
		if to := w.nodeAt(envelope.Addr); to != nil && to.member.Region != from.member.Region {
			d = 45 * time.Millisecond
		}
		w.transmit(from.member.Addr, envelope.Addr, d, func() { w.receive(envelope.Addr, kind, envelope.Msg) })
	}
}

func (w *clusterSim) receive(addr, kind string, msg *replicationpb.Message) {
	m := w.nodeAt(addr)
	if m == nil || m.core == nil {
		return
	}
	core := m.core
	if fromFormerIncarnation(msg, core.cfg.Incarnation) {
		w.stats.formerIncarnation++
	}
	w.step("receive "+kind, m, addr)
	m.run(core, func() { core.Receive(m.clock(), msg) })
}

func (w *clusterSim) nodeAt(addr string) *simNode {
	for _, m := range w.nodes {
		if m.member.Addr == addr && !m.removed {
			return m
		}
	}
	return nil
}

// messageKinds are the names of the messages between nodes, by the type of their body.
var messageKinds = func() map[reflect.Type]string {
	kinds := map[reflect.Type]string{}
	fields := (&replicationpb.Message{}).ProtoReflect().Descriptor().Oneofs().ByName("body").Fields()
	for i := range fields.Len() {
		m := (&replicationpb.Message{}).ProtoReflect()
		m.Set(fields.Get(i), m.NewField(fields.Get(i)))
		body := m.Interface().(*replicationpb.Message).GetBody()
		kinds[reflect.TypeOf(body)] = string(fields.Get(i).Name())
	}
	return kinds
}()

func kindOf(m *replicationpb.Message) string { return messageKinds[reflect.TypeOf(m.GetBody())] }

// messageNames returns the kinds of messages in the order of their definition.
func messageNames() []string {
	fields := (&replicationpb.Message{}).ProtoReflect().Descriptor().Oneofs().ByName("body").Fields()
	var out []string
	for i := range fields.Len() {
		out = append(out, string(fields.Get(i).Name()))
	}
	return out
}
