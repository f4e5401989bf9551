package promptpool

// RegionServers is the number of servers in the regions that get short prompts (Pooled), and in those that get only long ones (Separate).
type RegionServers struct {
	Pooled, Separate int
}

// separateMargin is the share of the separate regions' servers that long prompts must leave unused before they
// move there from the pools, so that a share near the threshold does not move the homes of prompts back and forth.
const separateMargin = 0.2

// Division determines how long prompts are divided among regions. They have the regions without short
// prompts to themselves: if these suffice, long prompts stay there; otherwise pools in the other
// regions provide the rest. The zero value has seen no work, and the separate regions do not suffice.
type Division struct {
	suffices bool
	isKnown  bool // Divide was called with an observed share
}

// Suffices reports whether the separate regions have enough servers for the long prompts.
func (d *Division) Suffices() bool { return d.suffices }

// Presume returns the share of the pooled regions' servers that long prompts need if they
// bring the presumed work. After Divide was called with an observed share, it changes nothing.
func (d *Division) Presume(servers RegionServers) (pooledShare float64) {
	if d.isKnown {
		return initialShare
	}
	pooledShare = d.Divide(initialShare, servers)
	d.isKnown = false
	return pooledShare
}

// Divide sets the share of all servers that long prompts should have, and returns the
// share of the pooled regions' servers that they need in addition to the separate regions.
func (d *Division) Divide(share float64, servers RegionServers) (pooledShare float64) {
	d.isKnown = true
	missing := share*float64(servers.Pooled+servers.Separate) - float64(servers.Separate)
	switch {
	case servers.Separate == 0 || missing > 0:
		d.suffices = false
	case missing <= -separateMargin*float64(servers.Separate):
		d.suffices = true
	}
	if servers.Pooled == 0 {
		return 0
	}
	return max(missing, 0) / float64(servers.Pooled)
}
