package plan

import "fmt"

// Process indexes that are not those of sidecars.
const (
	ListIndex   = -1  // the list
	LeaderIndex = -2  // the registry node that leads when the step is taken; the end of a fault acts on the node of its beginning
	firstNode   = -10 // the first registry node; further ones are below
)

// NodeIndex is the process index of the k-th registry node, from 0.
func NodeIndex(k int) int { return firstNode - k }

// NodeOf is the inverse of NodeIndex. ok is false for other processes and for LeaderIndex.
func NodeOf(process int) (k int, ok bool) { return firstNode - process, process <= firstNode }

// IsNode reports whether a process index is that of a registry node or LeaderIndex.
func IsNode(process int) bool { return process == LeaderIndex || process <= firstNode }

// The near ends of links (link.Near) have indexes: first the sidecars, then those of the following methods.

// NearWriter is the near end of the lab's own clients of the registry.
func (p *Plan) NearWriter() int { return len(p.Sidecars) }

// NearNode is the near end of the k-th registry node.
func (p *Plan) NearNode(k int) int { return len(p.Sidecars) + 1 + k }

// NearHost is the near end of the i-th process of servers, which registers them.
func (p *Plan) NearHost(i int) int { return len(p.Sidecars) + 1 + p.File.Registry.Count + i }

// NearWatcher is the near end of the i-th client that only watches.
func (p *Plan) NearWatcher(i int) int { return p.NearHost(p.Hosts()) + i }

// NearLyingMember is the near end of the i-th lying member.
func (p *Plan) NearLyingMember(i int) int { return p.NearWatcher(p.File.Registry.Watchers) + i }

// Nears is the number of near ends.
func (p *Plan) Nears() int { return p.NearLyingMember(p.LyingMembers()) }

// LyingMembers is the number of members that are no sidecars and send false reports (Byzantine): each lie of the file has its own, in
// order.
func (p *Plan) LyingMembers() (n int) {
	for i := range p.File.Faults {
		if fault := &p.File.Faults[i]; fault.Do == FaultFalseReports {
			n += fault.Count
		}
	}
	return n
}

// Hosts is the number of processes of stand-in servers.
func (p *Plan) Hosts() int {
	return (p.InitialServers + p.File.Fleet.PerHost - 1) / p.File.Fleet.PerHost
}

// NodeName is the name of the k-th registry node, from 0.
func NodeName(k int) string { return fmt.Sprintf("k%d", k+1) }
