package plan

import "fmt"

// Process indexes that mean no sidecar.
const (
	ListIndex   = -1
	LeaderIndex = -2  // the keeper that leads when the step is taken; what ends a fault acts on whom it began with
	firstNode   = -10 // and those below
)

// NodeIndex is the process index of the k-th keeper, from 0.
func NodeIndex(k int) int { return firstNode - k }

// NodeOf undoes NodeIndex; it tells false for others, LeaderIndex with them.
func NodeOf(process int) (k int, ok bool) { return firstNode - process, process <= firstNode }

// IsNode tells whether a process index means a keeper.
func IsNode(process int) bool { return process == LeaderIndex || process <= firstNode }

// Indexes of the near ends besides the sidecars, each with its own address (link.Near).

// NearWriter is that of the lab's own clients of the keepers.
func (p *Plan) NearWriter() int { return len(p.Sidecars) }

// NearNode is that of the k-th keeper, as it calls others.
func (p *Plan) NearNode(k int) int { return len(p.Sidecars) + 1 + k }

// NearHost is that of the i-th process of servers, as it registers them.
func (p *Plan) NearHost(i int) int { return len(p.Sidecars) + 1 + p.File.Registry.Count + i }

// NearWatcher is that of the i-th client that only watches.
func (p *Plan) NearWatcher(i int) int { return p.NearHost(p.Hosts()) + i }

// NearLyingMember is that of the i-th member that is no sidecar.
func (p *Plan) NearLyingMember(i int) int { return p.NearWatcher(p.File.Registry.Watchers) + i }

// Nears is how many near ends there are.
func (p *Plan) Nears() int { return p.NearLyingMember(p.LyingMembers()) }

// LyingMembers is how many members there are that are no sidecars: those of each lie have their own places, in the order of the file.
func (p *Plan) LyingMembers() (n int) {
	for i := range p.File.Faults {
		if t := &p.File.Faults[i]; t.Do == "lie" {
			n += t.Count
		}
	}
	return n
}

// Hosts is how many processes of stand-in servers there are.
func (p *Plan) Hosts() int {
	return (p.InitialServers + p.File.Fleet.PerHost - 1) / p.File.Fleet.PerHost
}

// NodeName is the name of the k-th keeper.
func NodeName(k int) string { return fmt.Sprintf("k%d", k+1) }
