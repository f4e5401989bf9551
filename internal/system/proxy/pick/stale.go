package pick

// hasProbeCapacity tells whether a doubted server may get one more trial. Danger: requests that await connections to servers that are cut off
// all go out at the moment when the cut ends, and a Stale proxy, which hears of no evacuation, does not know whether the servers
// are cold by then.
func (p *Picker) hasProbeCapacity(s *server) bool {
	if p.state.Stale && s.warmUpRate() > 0 {
		return s.ownLoad.Requests == 0
	}
	return s.ownLoad.Requests < s.slots()
}
