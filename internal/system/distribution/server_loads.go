package distribution

import (
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/loadreport"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// subscribersPerInterval is the fleet size up to which load reports are sent at the shortest interval.
const subscribersPerInterval = 128

// loadAggregator adds up the loads reported by proxies. The server's mu guards it.
type loadAggregator struct {
	total *loadreport.Vector // of all proxies
	local *loadreport.Vector // of the subscribers of this node
}

func newLoadAggregator() loadAggregator {
	return loadAggregator{total: loadreport.NewVector(false), local: loadreport.NewVector(false)}
}

// publish adds up the loads as of now, and reports which of the sums changed.
func (a *loadAggregator) publish(now time.Time, sessions *sessionSet, peers *peerSet) (localChanged, totalChanged bool) {
	sums := map[string]pick.Load{}
	for _, each := range sessions.byNode {
		each.loads.AddTo(now, sums)
		each.loadsInTotals = each.loads.Number
	}
	localChanged = a.local.Publish(now, sums)
	for _, p := range peers.byAddress {
		p.loads.AddTo(now, sums)
	}
	return localChanged, a.total.Publish(now, sums)
}

// loadReportInterval returns the time between load reports to one subscriber. It grows with the fleet, so that the bytes that one proxy
// and the work that one node spend on them stay constant. The caller holds mu.
func (s *Server) loadReportInterval() time.Duration {
	subscribers := len(s.sessions.byNode) + s.peers.subscribers()
	return s.limits.LoadReportInterval * time.Duration(max(1, (subscribers+subscribersPerInterval-1)/subscribersPerInterval))
}
