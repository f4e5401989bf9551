package check

import "time"

// gossipFigures adds what the peers of a sidecar sent it per second while the load ran, without what links lost: packets, and bytes of
// packets and streams without headers. They are left out where sidecars do not know each other.
func (e *Evidence) gossipFigures(figures Figures) {
	end := e.Start + int64(e.Plan.File.Seconds*float64(time.Second))
	packets, bytes, seconds := int64(0), int64(0), 0
	for _, record := range e.Gossip {
		if record.At > e.Start+int64(time.Second) && record.At <= end {
			packets, bytes, seconds = packets+record.Packets, bytes+record.Bytes+record.StreamBytes, seconds+1
		}
	}
	if seconds == 0 {
		return
	}
	each := float64(seconds) * float64(len(e.Plan.Sidecars))
	figures["members_packets"], figures["members_bytes"] = float64(packets)/each, float64(bytes)/each
}
