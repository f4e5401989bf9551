package distribution

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// leg is how long a message is under way to another process, and the answer to it.
type leg struct{ out, back time.Duration }

// truth is when the times of a server really end.
type truth struct {
	coldEnd   time.Time
	withdrawn time.Time // zero: no notice was given
}

// told is what the platform answers at a moment.
func (s truth) told(now time.Time) pick.Server {
	told := pick.Server{ID: "s", Service: "a", WarmUpMax: max(0, s.coldEnd.Sub(now))}
	if !s.withdrawn.IsZero() {
		told.Remaining = max(time.Millisecond, s.withdrawn.Sub(now))
	}
	return told
}

// coldPath is the way of the platform's list to proxies: one keeper reads it, another has it by shares, a proxy polls
// either, and a neighbour of that proxy asks it. Each step is made by hand, with a delay there and back.
type coldPath struct {
	t         *testing.T
	truth     truth
	mesh      *mesh
	legs      map[[2]string]time.Duration
	reader    *Server
	version   uint64
	shares    sharing
	followers map[string]*Subscriber
	early     map[string]time.Duration // by how much at the most a follower's cold end came before the true one
}

// newColdPath makes the processes. The reader has last shared over a link with these delays, so it knows the other's clock
// as well as that allows.
func newColdPath(t *testing.T, shared leg) *coldPath {
	t.Helper()
	p := &coldPath{t: t, mesh: newMesh(), legs: map[[2]string]time.Duration{}, reader: hubNamed("reader:1"),
		followers: map[string]*Subscriber{}, early: map[string]time.Duration{}}
	p.mesh.delay = func(from, to string) time.Duration { return p.legs[[2]string{from, to}] }
	p.shares = sharing{from: p.reader, to: hubNamed("other:1")}
	p.mesh.host("reader:1", p.reader.Handler())
	p.mesh.host("other:1", p.shares.to.Handler())
	for _, node := range []string{"proxy", "neighbour"} {
		f := NewSubscriber(SubscriberOptions{Self: softstate.Member{Node: node}, Log: quiet(), Transport: station{p.mesh, node},
			Knobs: TestingKnobs{NeighbourAtOnce: true}}) // the neighbour hears of keepers, and isn't to try them first
		p.followers[node] = f
		p.mesh.host(node+":2", f.Handler())
	}
	p.reader.markComplete()
	p.share(shared) // refused: the other's clock is not known yet
	p.share(shared)
	return p
}

// putReading has a hub take in a reading of the list that was asked for at asked, and came just now.
func putReading(tb testing.TB, h *Server, version uint64, asked time.Time, servers ...pick.Server) {
	tb.Helper()
	if err := h.PutList(1, version, servers, madeAgo(softstate.AgeUpTo(time.Since(asked)))); err != nil {
		tb.Fatal(err)
	}
}

// read has the reader ask the platform.
func (p *coldPath) read(l leg) {
	p.t.Helper()
	asked := time.Now()
	time.Sleep(l.out)
	told := p.truth.told(time.Now())
	time.Sleep(l.back)
	p.version++
	putReading(p.t, p.reader, p.version, asked, told)
}

// share has the reader share with the other keeper.
func (p *coldPath) share(l leg) {
	p.t.Helper()
	p.shares.sendOver(p.t, l)
}

// follow has the proxy poll a keeper.
func (p *coldPath) follow(keeper string, l leg) {
	p.t.Helper()
	p.connect("proxy", keeper, l)
	if _, err := p.followers["proxy"].call(p.t.Context(), keeper, callOptions{maxPause: time.Second}); err != nil {
		p.t.Fatal(err)
	}
}

// ask has the neighbour ask the proxy.
func (p *coldPath) ask(l leg) {
	p.connect("neighbour", "proxy:2", l)
	p.followers["neighbour"].queryNeighbour(p.t.Context(), "proxy:2")
}

func (p *coldPath) connect(from, to string, l leg) {
	p.legs[[2]string{from, to}], p.legs[[2]string{to, from}] = l.out, l.back
}

// held gives the server as each follower that has heard of it holds it.
func (p *coldPath) held() map[string]pick.Server {
	out := map[string]pick.Server{}
	for node, f := range p.followers {
		for _, s := range f.Current().Servers {
			out[node] = s
		}
	}
	return out
}

// check notes the followers whose word of the cold state ends before that state does.
func (p *coldPath) check() {
	left := time.Until(p.truth.coldEnd)
	for node, s := range p.held() {
		if early := left - s.WarmUpMax; left > 0 && early > 0 {
			p.early[node] = max(p.early[node], early)
		}
	}
}
