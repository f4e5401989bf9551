package distribution

import (
	"maps"
	"time"

	"google.golang.org/protobuf/proto"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/loadreport"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

const (
	// initialReportInterval is the interval of load reports until a node specifies one.
	initialReportInterval = 100 * time.Millisecond
	// maxReportInterval bounds the interval that a node may specify.
	maxReportInterval = 2 * time.Second
	// maxSentLoads bounds the remembered reports of own loads, which are subtracted from the totals.
	maxSentLoads = 16
)

// sentLoads are loads as they were reported.
type sentLoads struct {
	number uint64
	loads  map[string]pick.Load
}

// loadExchange reports this proxy's loads and computes those of all other proxies. The subscriber's mu guards it.
type loadExchange struct {
	own      *loadreport.Vector
	sent     []sentLoads // newest last
	acked    softstate.Cursor
	totals   loadreport.Received
	others   map[string]pick.Load
	interval time.Duration // between reports
}

func newLoadExchange() loadExchange {
	return loadExchange{own: loadreport.NewVector(true), interval: initialReportInterval}
}

// lastReportEmpty reports whether the last report contained no load.
func (e *loadExchange) lastReportEmpty() bool {
	return len(e.sent) == 0 || len(e.sent[len(e.sent)-1].loads) == 0
}

// maxWait returns how long a poll may wait while this proxy has load.
func (e *loadExchange) maxWait() time.Duration { return e.interval + e.interval/4 }

// addTo publishes the loads, and adds to a request the changes that the node lacks.
func (e *loadExchange) addTo(now time.Time, req *distributionpb.FollowRequest, loads map[string]pick.Load) {
	changed := e.own.Publish(now, loads)
	if changed || len(e.sent) == 0 || e.sent[len(e.sent)-1].number != e.own.Number {
		e.sent = append(e.sent, sentLoads{e.own.Number, loads})
		if len(e.sent) > maxSentLoads {
			e.sent = e.sent[1:]
		}
	}
	req.Totals = e.totals.ToProto()
	req.Loads = e.own.ChangesSince(e.acked)
}

// handleReply applies the loads in a reply that was made at madeAt, and reports whether those of other proxies changed.
func (e *loadExchange) handleReply(madeAt time.Time, reply *distributionpb.FollowReply) (changed bool) {
	e.acked = softstate.CursorFromProto(reply.GetTold())
	if interval := softstate.BoundedMilliseconds(reply.GetPaceMs(), maxReportInterval); interval > 0 {
		e.interval = interval
	}
	return e.applyTotals(madeAt, reply)
}

// applyTotals applies the total loads in a reply and computes the part of other proxies.
func (e *loadExchange) applyTotals(madeAt time.Time, reply *distributionpb.FollowReply) (changed bool) {
	if encoded := reply.GetTotals(); len(encoded) > 0 {
		var changes distributionpb.Loads
		if proto.Unmarshal(encoded, &changes) != nil || !e.totals.Apply(madeAt, &changes) {
			return false
		}
	}
	e.totals.ReceivedAt = madeAt
	others := e.totals.Without(e.loadsReportedAs(reply.GetTotalsOf()))
	if maps.Equal(others, e.others) {
		return false
	}
	e.others = others
	return true
}

// loadsReportedAs returns the loads that were reported under a number, or nil if they are no longer remembered.
func (e *loadExchange) loadsReportedAs(number uint64) (loads map[string]pick.Load) {
	for _, report := range e.sent {
		if report.number == number {
			loads = report.loads
		}
	}
	return loads
}
