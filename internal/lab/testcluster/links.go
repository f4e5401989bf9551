package testcluster

import (
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/lab/link"
)

// Path is a link's two ends: the one that connects, and the one that is called. An end is a process, named as by
// ControlPlaneName and ProxyName, ListEnd or a server's address. A path to a server without a near end is that of callers that are not
// known to be a proxy.
type Path struct{ From, To string }

// ToServer reports whether a path leads to a server: all other ends are named.
func (p Path) ToServer() bool {
	_, _, err := net.SplitHostPort(p.To)
	return err == nil
}

// ListEnd is the platform's list as an end of a path.
const ListEnd = "list"

// ControlPlaneName names the control-plane node of a machine.
func ControlPlaneName(m Machine) string { return "keeper-" + m.IP }

// ProxyName names the proxy of a machine.
func ProxyName(m Machine) string { return "proxy-" + m.IP }

// Links are the links between the parts of a run. Each process has ports of its own, and calls others at these; a relay
// answers there and leads on to the ports of the one that is called, so each pair of processes has a link of its own.
type Links struct {
	Delay  time.Duration // one way, between regions, and to the platform's list from everywhere
	Jitter time.Duration

	senders sync.Map // front addresses of proxies by the ids of the requests that clients sent there
	mu      sync.Mutex
	active  map[Path]*activeLink
	next    int
	closers []func()
}

// activeLink is a link with what lies on it now.
type activeLink struct {
	link   *link.Link
	base   link.State
	faults map[int]link.State
}

// NewLinks gives links with a delay, one way, between regions.
func NewLinks(delay, jitter time.Duration) *Links {
	return &Links{Delay: delay, Jitter: jitter, active: map[Path]*activeLink{}}
}

// linkFor gives the link of a path, with the delay of its length where it is new.
func (n *Links) linkFor(p Path, far bool) *link.Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	w := n.active[p]
	if w == nil {
		w = &activeLink{link: link.New(), faults: map[int]link.State{}}
		if far {
			w.base = link.State{Delay: n.Delay, Jitter: n.Jitter}
		}
		w.link.Set(w.base)
		n.active[p] = w
	}
	return w.link
}

// Inject injects a state into the paths that are picked, in addition to what is injected there already, until heal is called.
func (n *Links) Inject(pick func(Path) bool, s link.State) (heal func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.next++
	id := n.next
	var some []*activeLink
	for p, w := range n.active {
		if pick(p) {
			w.faults[id] = s
			w.apply()
			some = append(some, w)
		}
	}
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, w := range some {
			delete(w.faults, id)
			w.apply()
		}
	}
}

// apply gives the link the sum of what lies on it.
func (w *activeLink) apply() {
	s := w.base
	for _, t := range w.faults {
		s.Hold[link.ToFar] = s.Hold[link.ToFar] || t.Hold[link.ToFar]
		s.Hold[link.ToNear] = s.Hold[link.ToNear] || t.Hold[link.ToNear]
		s.Delay += t.Delay
		s.Jitter += t.Jitter
	}
	w.link.Set(s)
}

// endpoint is a process of the fleet as its links see it.
type endpoint struct {
	Machine
	name         string
	controlPlane bool
	firstPort    int // port
}

const portsPerProcess = 2 // the system's own traffic to control-plane nodes, and to proxies

// endpoints are the processes of a fleet, each with ports of its own.
func (f *Fleet) endpoints() []endpoint {
	var all []endpoint
	for _, m := range f.Machines {
		for _, controlPlane := range []bool{true, false} {
			e := endpoint{Machine: m, name: ProxyName(m), controlPlane: controlPlane, firstPort: f.Ports.First + portsPerProcess*len(all)}
			if controlPlane {
				e.name = ControlPlaneName(m)
			}
			all = append(all, e)
		}
	}
	return all
}

// connect puts relays between all processes of a fleet, and between them and the list.
func (n *Links) connect(fleet *Fleet, list string) (lists map[string]string, err error) {
	lists = map[string]string{}
	for _, from := range fleet.endpoints() {
		if from.firstPort+portsPerProcess-1 > fleet.Ports.Last {
			return nil, errors.Newf("the ports up to %d are too few for links between %d machines", fleet.Ports.Last, len(fleet.Machines))
		}
		if from.controlPlane {
			r, err := n.relay(Path{from.name, ListEnd}, net.JoinHostPort(from.IP, "0"), list, true)
			if err != nil {
				return nil, err
			}
			lists[from.name] = r.listener.Addr().String()
		}
		for _, to := range fleet.endpoints() {
			if err := n.connectPair(from, to); err != nil {
				return nil, err
			}
		}
	}
	return lists, nil
}

// connectPair puts relays between two processes: everybody calls control-plane nodes, and proxies call each other.
func (n *Links) connectPair(from, to endpoint) error {
	if from.name == to.name || from.controlPlane && !to.controlPlane {
		return nil
	}
	offset := 0
	if !to.controlPlane {
		offset = 1
	}
	p, far := Path{from.name, to.name}, from.Region != to.Region
	at, on := net.JoinHostPort(to.IP, strconv.Itoa(from.firstPort+offset)), net.JoinHostPort(to.IP, strconv.Itoa(to.firstPort+offset))
	if _, err := n.relay(p, at, on, far); err != nil || to.controlPlane {
		return err
	}
	packets, err := newPacketRelay(at, on, n.linkFor(p, far))
	if err != nil {
		return errors.Wrapf(err, "no packets can be led on at %s", at)
	}
	n.addCloser(packets.close)
	return nil
}

func (n *Links) relay(p Path, at, to string, far bool) (*relay, error) {
	r, err := newRelay(at, to, n.linkFor(p, far))
	if err != nil {
		return nil, errors.Wrapf(err, "no connections can be led on at %s", at)
	}
	n.addCloser(r.close)
	return r, nil
}

func (n *Links) addCloser(closer func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closers = append(n.closers, closer)
}

// close ends all relays.
func (n *Links) close() {
	n.mu.Lock()
	closers := n.closers
	n.closers = nil
	n.mu.Unlock()
	for _, c := range closers {
		c()
	}
}
