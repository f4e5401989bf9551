package testcluster

import (
	"net"
	"strconv"

	"github.com/cockroachdb/errors"
)

// endpoint is a process of the fleet as an end of links.
type endpoint struct {
	Machine
	name         string
	controlPlane bool // false: a proxy
	firstPort    int  // of the portsPerProcess that are its own
}

// portsPerProcess is one port at which control-plane nodes answer, and one at which proxies do.
const portsPerProcess = 2

// Offsets of those ports from the first one.
const (
	controlPlanePort = iota
	proxyPort
)

// endpoints returns the processes of a fleet, each with ports of its own.
func (f *Fleet) endpoints() []endpoint {
	var endpoints []endpoint
	for _, m := range f.Machines {
		for _, controlPlane := range []bool{true, false} {
			e := endpoint{Machine: m, name: ProxyName(m), controlPlane: controlPlane, firstPort: f.Ports.First + portsPerProcess*len(endpoints)}
			if controlPlane {
				e.name = ControlPlaneName(m)
			}
			endpoints = append(endpoints, e)
		}
	}
	return endpoints
}

// connect starts relays between all processes of a fleet, and between control-plane nodes and the list. It returns the addresses at which
// the list answers, by the names of the processes that call it there.
func (l *Links) connect(fleet *Fleet, list string) (lists map[string]string, err error) {
	lists = map[string]string{}
	for _, from := range fleet.endpoints() {
		if from.firstPort+portsPerProcess-1 > fleet.Ports.Last {
			return nil, errors.Newf("the ports up to %d are too few for links between %d machines", fleet.Ports.Last, len(fleet.Machines))
		}
		if from.controlPlane {
			r, err := l.relay(Path{from.name, ListEnd}, net.JoinHostPort(from.IP, "0"), list, true)
			if err != nil {
				return nil, err
			}
			lists[from.name] = r.listener.Addr().String()
		}
		for _, to := range fleet.endpoints() {
			if err := l.connectPair(from, to); err != nil {
				return nil, err
			}
		}
	}
	return lists, nil
}

// connectPair starts relays from one process to another, where it calls that: all call control-plane nodes, and proxies call each other, by
// connections and by packets.
func (l *Links) connectPair(from, to endpoint) error {
	if from.name == to.name || from.controlPlane && !to.controlPlane {
		return nil
	}
	offset := proxyPort
	if to.controlPlane {
		offset = controlPlanePort
	}
	path, far := Path{from.name, to.name}, from.Region != to.Region
	at := net.JoinHostPort(to.IP, strconv.Itoa(from.firstPort+offset))
	forwardTo := net.JoinHostPort(to.IP, strconv.Itoa(to.firstPort+offset))
	if _, err := l.relay(path, at, forwardTo, far); err != nil {
		return err
	}
	if to.controlPlane {
		return nil
	}
	packets, err := newPacketRelay(at, forwardTo, l.linkFor(path, far), l.reportError)
	if err != nil {
		return errors.Wrapf(err, "no packets can be forwarded at %s", at)
	}
	l.addCloser(packets.close)
	return nil
}

// relay starts a relay of connections over the link of a path. It ends with l.
func (l *Links) relay(path Path, at, to string, far bool) (*relay, error) {
	r, err := newRelay(at, to, l.linkFor(path, far), l.reportError)
	if err != nil {
		return nil, errors.Wrapf(err, "no connections can be forwarded at %s", at)
	}
	l.addCloser(r.close)
	return r, nil
}
