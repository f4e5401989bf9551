package replication

import (
	"reflect"
	"strings"
	"time"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// outside is the address of everyone who is neither keeper nor proxy: operators and their clients.
const outside = "outside"

// maxHeld is how many messages a cut link holds back, as the buffers of its connections do.
const maxHeld = 200

// cutLink is one direction of a link that carries nothing.
type cutLink struct {
	until time.Duration
	late  bool // what is sent meanwhile arrives after the cut
	held  []func()
}

// block cuts one direction of a link.
func (w *world) block(from, to string, d time.Duration, late bool) {
	if from == to || w.beyond(from) && w.beyond(to) {
		return
	}
	if !w.beyond(from) && !w.beyond(to) {
		w.disturbed()
	}
	k := [2]string{from, to}
	l := w.cut[k]
	if l == nil {
		l = &cutLink{late: late}
		w.cut[k] = l
	}
	l.until = max(l.until, w.now+d)
	w.after(d, func() {
		if w.cut[k] == l && w.now >= l.until {
			w.join(k)
		}
	})
}

// beyond tells whether the address is no keeper's.
func (w *world) beyond(addr string) bool {
	return addr == outside || strings.HasPrefix(addr, proxyPrefix)
}

// join ends a cut.
func (w *world) join(k [2]string) {
	l := w.cut[k]
	if l == nil {
		return
	}
	delete(w.cut, k)
	if !w.beyond(k[0]) && !w.beyond(k[1]) {
		w.disturbed()
	}
	w.stats.lateMessages += len(l.held)
	for i, do := range l.held {
		w.after(time.Millisecond+time.Duration(i)*10*time.Microsecond, do)
	}
}

// connected tells whether nothing is cut between two addresses.
func (w *world) connected(a, b string) bool {
	return w.cut[[2]string{a, b}] == nil && w.cut[[2]string{b, a}] == nil
}

// carry brings something from one address to another, unless the link is cut or loses it.
func (w *world) carry(from, to string, d time.Duration, do func()) {
	if l := w.cut[[2]string{from, to}]; l != nil {
		if l.late && len(l.held) < maxHeld {
			l.held = append(l.held, do)
		}
		return
	}
	if w.rng.Float64() < w.loss {
		return
	}
	d += time.Duration(w.rng.ExpFloat64() * float64(d) / 4)
	if w.slack > 0 && w.rng.IntN(4) == 0 {
		d += time.Duration(w.rng.Int64N(int64(w.slack)))
	}
	w.after(d, do)
}

func (w *world) deliver(from *machine, e Envelope) {
	kind := kindOf(e.Msg)
	core := from.core
	if w.step("send "+kind, from, e.Addr); from.core != core {
		return
	}
	n := 1
	if w.rng.IntN(50) == 0 {
		n = 2
	}
	for range n {
		d := time.Millisecond
		if to := w.at(e.Addr); to != nil && to.member.Region != from.member.Region {
			d = 45 * time.Millisecond
		}
		w.carry(from.member.Addr, e.Addr, d, func() { w.arrive(e.Addr, kind, e.Msg) })
	}
}

func (w *world) arrive(addr, kind string, msg *replicationpb.Message) {
	m := w.at(addr)
	if m == nil || m.core == nil {
		return
	}
	core := m.core
	if formerLife(msg, core.cfg.Incarnation) {
		w.stats.formerLife++
	}
	w.step("receive "+kind, m, addr)
	m.run(core, func() { core.Receive(m.clock(), msg) })
}

func (w *world) at(addr string) *machine {
	for _, m := range w.nodes {
		if m.member.Addr == addr && !m.gone {
			return m
		}
	}
	return nil
}

// messageKinds are the names of the messages between keepers, by the type of their body.
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

// messageNames lists the kinds of messages in the order of their definition.
func messageNames() []string {
	fields := (&replicationpb.Message{}).ProtoReflect().Descriptor().Oneofs().ByName("body").Fields()
	var out []string
	for i := range fields.Len() {
		out = append(out, string(fields.Get(i).Name()))
	}
	return out
}
