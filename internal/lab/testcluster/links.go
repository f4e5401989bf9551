package testcluster

import (
	"net"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/lab/link"
)

// Path names the two ends of a link: From connects, and To is called. An end is the name of a process (ControlPlaneName, ProxyName), ListEnd,
// or the address of a server's spec. From is empty on a path to a server from callers that are not known to be a proxy.
type Path struct{ From, To string }

// ToServer reports whether a path leads to a server, which only addresses name.
func (p Path) ToServer() bool {
	_, _, err := net.SplitHostPort(p.To)
	return err == nil
}

// ListEnd names the platform's list as an end of a path.
const ListEnd = "list"

// ControlPlaneName returns the name of the control-plane node of a machine.
func ControlPlaneName(m Machine) string { return "keeper-" + m.IP }

// ProxyName returns the name of the proxy of a machine.
func ProxyName(m Machine) string { return "proxy-" + m.IP }

// Links are the network links of a run, into which faults can be injected. Each process has ports of its own, and calls all others at these
// ports; a relay listens there and forwards to the ports of the process that is called. So each pair of processes has a link of its own.
type Links struct {
	Delay  time.Duration // one way, between regions, and to the platform's list from everywhere
	Jitter time.Duration // added to Delay, at most

	senders sync.Map // front addresses of proxies (string) by the ids of the attempts (string) that clients sent there

	mu        sync.Mutex
	active    map[Path]*activeLink
	lastFault int // id of the fault that was injected last
	closers   []func()
	onError   func(error) // is called with errors that relays outlive; nil: nobody is told
}

// activeLink is a link with the faults that are injected into it.
type activeLink struct {
	link   *link.Link
	base   link.State         // without faults
	faults map[int]link.State // by the fault's id
}

// NewLinks returns links with a delay and a jitter between regions; each is of one direction.
func NewLinks(delay, jitter time.Duration) *Links {
	return &Links{Delay: delay, Jitter: jitter, active: map[Path]*activeLink{}}
}

// linkFor returns the link of a path. It creates the link where there is none, with the delay between regions if far.
func (l *Links) linkFor(p Path, far bool) *link.Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	active := l.active[p]
	if active == nil {
		active = &activeLink{link: link.New(), faults: map[int]link.State{}}
		if far {
			active.base = link.State{Delay: l.Delay, Jitter: l.Jitter}
		}
		active.link.Set(active.base)
		l.active[p] = active
	}
	return active.link
}

// Inject injects a fault into the links whose paths are picked, in addition to other faults there, until heal is called. Links that are
// created later are not affected.
func (l *Links) Inject(pick func(Path) bool, fault link.State) (heal func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastFault++
	id := l.lastFault
	var affected []*activeLink
	for p, active := range l.active {
		if pick(p) {
			active.faults[id] = fault
			active.apply()
			affected = append(affected, active)
		}
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, active := range affected {
			delete(active.faults, id)
			active.apply()
		}
	}
}

// apply sets the link's state to the sum of its base and all faults.
func (a *activeLink) apply() {
	sum := a.base
	for _, fault := range a.faults {
		sum.Hold[link.ToFar] = sum.Hold[link.ToFar] || fault.Hold[link.ToFar]
		sum.Hold[link.ToNear] = sum.Hold[link.ToNear] || fault.Hold[link.ToNear]
		sum.Delay += fault.Delay
		sum.Jitter += fault.Jitter
	}
	a.link.Set(sum)
}

// addCloser has close call closer.
func (l *Links) addCloser(closer func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closers = append(l.closers, closer)
}

// setOnError has a function be called with the errors that relays outlive.
func (l *Links) setOnError(onError func(error)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onError = onError
}

// reportError reports an error that a relay outlives.
func (l *Links) reportError(err error) {
	l.mu.Lock()
	onError := l.onError
	l.mu.Unlock()
	if onError != nil {
		onError(err)
	}
}

// close ends all relays.
func (l *Links) close() {
	l.mu.Lock()
	closers := l.closers
	l.closers = nil
	l.mu.Unlock()
	for _, closer := range closers {
		closer()
	}
}
