package promptpool

// RegionServers is how many servers are in the regions to which short prompts come, and in those to which only long ones do.
type RegionServers struct {
	Pooled, Separate int
}

// separateMargin is the part of the separate regions' servers that long prompts must leave over before they are moved there from the pools, so
// that a share near the border does not move the homes of prompts to and fro.
const separateMargin = 0.2

// Division says how long prompts are divided over regions. The regions to which no short prompts come are theirs whole: where these suffice,
// long prompts keep to them; otherwise pools of the other regions add what is missing. The zero value has seen no work and lets nothing
// suffice.
type Division struct {
	suffices bool
	isKnown  bool // the share that Divide took up
}

// Suffices reports whether the separate regions have servers enough for the long prompts.
func (d *Division) Suffices() bool { return d.suffices }

// Presume returns the share of the pooled regions' servers that is missing by what is presumed of the work. Once Divide has taken up what is known, it
// changes nothing.
func (d *Division) Presume(servers RegionServers) (pooledShare float64) {
	if d.isKnown {
		return initialShare
	}
	pooledShare = d.Divide(initialShare, servers)
	d.isKnown = false
	return pooledShare
}

// Divide takes up which share of all servers long prompts should have, and returns the share of the pooled regions' servers that is missing.
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
