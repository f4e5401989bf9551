package distribution

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// transit is how long a message to another process and the reply to it are in transit.
type transit struct{ out, back time.Duration }

// trueServer has the true ends of a server's times.
type trueServer struct {
	warmUpEnd   time.Time
	withdrawnAt time.Time // zero: there is no notice
}

// statedAt returns the platform's reply at a moment.
func (s trueServer) statedAt(now time.Time) pick.Server {
	server := pick.Server{ID: "s", Service: "a", WarmUpMax: max(0, s.warmUpEnd.Sub(now))}
	if !s.withdrawnAt.IsZero() {
		server.Remaining = max(time.Millisecond, s.withdrawnAt.Sub(now))
	}
	return server
}

// warmUpPath is the path of the platform's list to proxies: one node reads it, another receives it by synchronisation, a proxy polls
// either of them, and a neighbour queries that proxy. The test triggers each step explicitly, with a delay in each direction.
type warmUpPath struct {
	t           *testing.T
	server      trueServer
	mesh        *mesh
	transits    map[[2]string]time.Duration
	reader      *Server
	version     uint64
	sync        manualSync
	subscribers map[string]*Subscriber
	early       map[string]time.Duration // maximum by which the warm-up of a subscriber's entry ended before the true end
}

// newWarmUpPath creates the processes. The reader has last synchronised over a link with the delays of shared, so it knows the other
// node's clock as well as these delays allow.
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
			knobs: TestingKnobs{ServeNeighbourImmediately: true}}) // the neighbour learns of nodes, and must not try them first
		path.subscribers[node] = subscriber
		path.mesh.host(node+":2", subscriber.Handler())
	}
	path.reader.markComplete()
	path.synchronise(shared) // rejected: the other node's clock is not known yet
	path.synchronise(shared)
	return path
}

// putReading makes a server merge a reading of the list that was requested at asked and has just been received.
func putReading(tb testing.TB, server *Server, version uint64, asked time.Time, servers ...pick.Server) {
	tb.Helper()
	putList(tb, server, 1, version, servers, softstate.AgeUpTo(time.Since(asked)))
}

// read makes the reader poll the platform.
func (p *warmUpPath) read(l transit) {
	p.t.Helper()
	asked := time.Now()
	time.Sleep(l.out)
	stated := p.server.statedAt(time.Now())
	time.Sleep(l.back)
	p.version++
	putReading(p.t, p.reader, p.version, asked, stated)
}

// synchronise makes the reader synchronise with the other node.
func (p *warmUpPath) synchronise(l transit) {
	p.t.Helper()
	p.sync.sendOver(p.t, l)
}

// poll makes the proxy poll a node.
func (p *warmUpPath) poll(node string, l transit) {
	p.t.Helper()
	p.connect("proxy", node, l)
	if _, err := p.subscribers["proxy"].poll(p.t.Context(), node, pollOptions{maxPause: time.Second}); err != nil {
		p.t.Fatal(err)
	}
}

// queryNeighbour makes the neighbour query the proxy.
func (p *warmUpPath) queryNeighbour(l transit) {
	p.connect("neighbour", "proxy:2", l)
	p.subscribers["neighbour"].queryNeighbour(p.t.Context(), "proxy:2")
}

func (p *warmUpPath) connect(from, to string, l transit) {
	p.transits[[2]string{from, to}], p.transits[[2]string{to, from}] = l.out, l.back
}

// stored returns the server as stored by each subscriber that knows it.
func (p *warmUpPath) stored() map[string]pick.Server {
	out := map[string]pick.Server{}
	for node, subscriber := range p.subscribers {
		for _, s := range subscriber.Current().Servers {
			out[node] = s
		}
	}
	return out
}

// check records the subscribers in whose entry the warm-up ends before the true end.
func (p *warmUpPath) check() {
	left := time.Until(p.server.warmUpEnd)
	for node, s := range p.stored() {
		if early := left - s.WarmUpMax; left > 0 && early > 0 {
			p.early[node] = max(p.early[node], early)
		}
	}
}
