package pick

import "time"

const (
	// reportedLoadTTL is how long a load reported in X-Server-Load is used.
	reportedLoadTTL = 400 * time.Millisecond
	// peerLoadTTL is how long the loads of other proxies are used.
	peerLoadTTL = 2 * time.Second
)

// Load is what one proxy, or all other proxies together, have outstanding at a server.
type Load struct {
	Requests int   // running or waiting there
	Prefill  int64 // prompt tokens estimated to be prefilled before a new request would get its first token
	Tokens   int64 // tokens of memory that those requests take or will take
}

// add returns the sum of two loads.
func (l Load) add(other Load) Load {
	return Load{l.Requests + other.Requests, l.Prefill + other.Prefill, l.Tokens + other.Tokens}
}

// serverLoad is the load of one server by source.
type serverLoad struct {
	own, peers Load // of this proxy and of all other proxies together
	reported   reportedLoad
}

// reportedLoad is the load that a server last reported about itself. The zero value is no report.
type reportedLoad struct {
	running, waiting, slots int
	at                      Time
	known                   bool
}

// outstanding returns what all proxies together have outstanding at the server. The peers' loads were last shared at peersAt.
func (l *serverLoad) outstanding(now, peersAt Time) Load {
	if now-peersAt >= peerLoadTTL {
		return l.own
	}
	return l.own.add(l.peers)
}

// requests returns how many requests are estimated to be running or waiting at the server.
func (l *serverLoad) requests(now, peersAt Time) int {
	requests := l.outstanding(now, peersAt).Requests
	if l.reported.known && now-l.reported.at < reportedLoadTTL {
		requests = max(requests, l.reported.running+l.reported.waiting)
	}
	return requests
}

// ServerLoad records the X-Server-Load header of a server: its running and waiting
// requests and its slots. Reports with negative numbers of requests are ignored.
func (p *Picker) ServerLoad(now Time, id string, running, waiting, slots int) {
	if s := p.servers[id]; s != nil && running >= 0 && waiting >= 0 {
		s.load.reported = reportedLoad{running, waiting, slots, now, true}
	}
}

// UpdatePeerLoads replaces what all other proxies together have outstanding, by server id, and their prompt demands, by demand key.
func (p *Picker) UpdatePeerLoads(now Time, loads map[string]Load) {
	p.peerLoadsAt = now
	for id, s := range p.servers {
		s.load.peers = loads[id]
		if p.hasLongPrompts(s.load.peers) {
			s.group.mix.RecordLong(now)
		}
	}
	for name, g := range p.groups {
		if g.engine() == nil {
			continue
		}
		g.peerDemand = demandFromLoad(loads[demandKey(name)])
		p.assignPromptPools(now, g)
	}
}

// Loads returns what this proxy has outstanding, by server id, to be shared with the other proxies. The caller owns the map.
func (p *Picker) Loads() map[string]Load {
	loads := make(map[string]Load, len(p.servers))
	for id, s := range p.servers {
		if s.load.own != (Load{}) {
			loads[id] = s.load.own
		}
	}
	return loads
}
