package pick

import "time"

const (
	// reportedLoadTTL is how long X-Server-Load counts.
	reportedLoadTTL = 400 * time.Millisecond
	// peerLoadTTL is how long the loads of other proxies count.
	peerLoadTTL = 2 * time.Second
)

// Load is what one proxy, or all other proxies together, have sent to a server and is not yet answered.
type Load struct {
	Requests int   // running or waiting there
	Prefill  int64 // prompt tokens estimated to be prefilled before a new request would get its first token
	Tokens   int64 // tokens of memory that those requests take or will take
}

// add sums two loads.
func (l Load) add(other Load) Load {
	return Load{l.Requests + other.Requests, l.Prefill + other.Prefill, l.Tokens + other.Tokens}
}

// serverLoad is the load of one server by its sources.
type serverLoad struct {
	own, peers Load // of this proxy, of all others together
	reported   reportedLoad
}

// reportedLoad is what a server last said of itself. The zero value says nothing.
type reportedLoad struct {
	running, waiting, slots int
	at                      Time
	known                   bool
}

// outstanding is what all proxies together have outstanding at the server. The peers' loads were last shared at peersAt.
func (l *serverLoad) outstanding(now, peersAt Time) Load {
	if now-peersAt >= peerLoadTTL {
		return l.own
	}
	return l.own.add(l.peers)
}

// requests is how many requests are estimated to run or wait at the server.
func (l *serverLoad) requests(now, peersAt Time) int {
	requests := l.outstanding(now, peersAt).Requests
	if l.reported.known && now-l.reported.at < reportedLoadTTL {
		requests = max(requests, l.reported.running+l.reported.waiting)
	}
	return requests
}

// ServerLoad takes in X-Server-Load: requests running and waiting at a server, and its slots. Negative numbers of requests are ignored.
func (p *Picker) ServerLoad(now Time, id string, running, waiting, slots int) {
	if s := p.servers[id]; s != nil && running >= 0 && waiting >= 0 {
		s.load.reported = reportedLoad{running, waiting, slots, now, true}
	}
}

// UpdatePeerLoads replaces what all other proxies together have outstanding, by server id, and their demands by key.
func (p *Picker) UpdatePeerLoads(now Time, loads map[string]Load) {
	p.peerLoadsAt = now
	for id, s := range p.servers {
		s.load.peers = loads[id]
		if p.bringsLongPrompts(s.load.peers) {
			s.group.mix.RecordLong(now)
		}
	}
	for name, g := range p.groups {
		if g.engine() == nil {
			continue
		}
		g.peerDemand = demandOfLoad(loads[demandKey(name)])
		p.assignPromptPools(now, g)
	}
}

// Loads is what this proxy has outstanding, by server id, to be shared with the other proxies. The map is the caller's.
func (p *Picker) Loads() map[string]Load {
	loads := make(map[string]Load, len(p.servers))
	for id, s := range p.servers {
		if s.load.own != (Load{}) {
			loads[id] = s.load.own
		}
	}
	return loads
}
