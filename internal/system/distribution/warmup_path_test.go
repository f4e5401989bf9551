package distribution

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// transit is how long a message is in transit to another process, and the reply to it.
type transit struct{ out, back time.Duration }

// trueServer is when the times of a server really end.
type trueServer struct {
	warmUpEnd   time.Time
	withdrawnAt time.Time // zero: no notice was given
}

// statedAt is what the platform replies at a moment.
func (s trueServer) statedAt(now time.Time) pick.Server {
	server := pick.Server{ID: "s", Service: "a", WarmUpMax: max(0, s.warmUpEnd.Sub(now))}
	if !s.withdrawnAt.IsZero() {
		server.Remaining = max(time.Millisecond, s.withdrawnAt.Sub(now))
	}
	return server
}

// warmUpPath is the way of the platform's list to proxies: one node reads it, another has it by synchronisations, a proxy polls
// either, and a neighbour of that proxy asks it. Each step is made by hand, with a delay there and back.
type warmUpPath struct {
	t           *testing.T
	server      trueServer
	mesh        *mesh
	transits    map[[2]string]time.Duration
	reader      *Server
	version     uint64
	sync        manualSync
	subscribers map[string]*Subscriber
	early       map[string]time.Duration // by how much at the most a subscriber's cold end came before the true one
}

// newWarmUpPath makes the processes. The reader has last shared over a link with these delays, so it knows the other's clock
// as well as that allows.
func newWarmUpPath(t *testing.T, shared transit) *warmUpPath {
	t.Helper()
	path := &warmUpPath{t: t, mesh: newMesh(), transits: map[[2]string]time.Duration{}, reader: newNamedServer("reader:1"),
		subscribers: map[string]*Subscriber{}, early: map[string]time.Duration{}}
	path.mesh.delay = func(from, to string) time.Duration { return path.transits[[2]string{from, to}] }
	path.sync = manualSync{from: path.reader, to: newNamedServer("other:1")}
	path.mesh.host("reader:1", path.reader.Handler())
	path.mesh.host("other:1", path.sync.to.Handler())
	for _, node := range []string{"proxy", "neighbour"} {
		subscriber := NewSubscriber(SubscriberOptions{Self: softstate.Member{Node: node}, Log: discardLogger(), Transport: meshTransport{path.mesh, node},
			knobs: TestingKnobs{NeighbourAtOnce: true}}) // the neighbour learns of nodes, and isn't to try them first
		path.subscribers[node] = subscriber
		path.mesh.host(node+":2", subscriber.Handler())
	}
	path.reader.markComplete()
	path.synchronise(shared) // refused: the other's clock is not known yet
	path.synchronise(shared)
	return path
}

// putReading has a server take in a reading of the list that was asked for at asked, and came just now.
func putReading(tb testing.TB, server *Server, version uint64, asked time.Time, servers ...pick.Server) {
	tb.Helper()
	putList(tb, server, 1, version, servers, softstate.AgeUpTo(time.Since(asked)))
}

// read has the reader ask the platform.
func (p *warmUpPath) read(l transit) {
	p.t.Helper()
	asked := time.Now()
	time.Sleep(l.out)
	stated := p.server.statedAt(time.Now())
	time.Sleep(l.back)
	p.version++
	putReading(p.t, p.reader, p.version, asked, stated)
}

// synchronise has the reader synchronise with the other node.
func (p *warmUpPath) synchronise(l transit) {
	p.t.Helper()
	p.sync.sendOver(p.t, l)
}

// poll has the proxy poll a node.
func (p *warmUpPath) poll(node string, l transit) {
	p.t.Helper()
	p.connect("proxy", node, l)
	if _, err := p.subscribers["proxy"].poll(p.t.Context(), node, pollOptions{maxPause: time.Second}); err != nil {
		p.t.Fatal(err)
	}
}

// queryNeighbour has the neighbour queryNeighbour the proxy.
func (p *warmUpPath) queryNeighbour(l transit) {
	p.connect("neighbour", "proxy:2", l)
	p.subscribers["neighbour"].queryNeighbour(p.t.Context(), "proxy:2")
}

func (p *warmUpPath) connect(from, to string, l transit) {
	p.transits[[2]string{from, to}], p.transits[[2]string{to, from}] = l.out, l.back
}

// stored returns the server as each subscriber that has learned of it has it.
func (p *warmUpPath) stored() map[string]pick.Server {
	out := map[string]pick.Server{}
	for node, subscriber := range p.subscribers {
		for _, s := range subscriber.Current().Servers {
			out[node] = s
		}
	}
	return out
}

// check records the subscribers whose statement of the warm-up ends before that state does.
func (p *warmUpPath) check() {
	left := time.Until(p.server.warmUpEnd)
	for node, s := range p.stored() {
		if early := left - s.WarmUpMax; left > 0 && early > 0 {
			p.early[node] = max(p.early[node], early)
		}
	}
}
