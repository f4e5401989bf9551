package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gradeusher.example/gradeusher/balance/signals"
	"gradeusher.example/gradeusher/balance/turns"
)

// Here is what a host that knows the other sidecars tells. Nothing of it is needed.

// Peer is what is known of a member of the fleet: its Zone, or "", and its Level, or 0.
type Peer struct {
	Zone         string
	TrafficLevel int
}

// defaultReportTTL is Settings.Bound where none is set.
const defaultReportTTL = 2 * time.Second

func newReports(set Settings) *signals.Aggregate {
	return signals.NewAggregate(set.Zone, cmp.Or(set.ReportTTL, defaultReportTTL))
}

// failureKinds is what an outcome that ejects a server says of how it fails.
var failureKinds = map[Outcome]signals.Kind{TimedOut: signals.Unresponsive, Errored: signals.Failing, ConnectFailed: signals.Failing,
	Reset: signals.Failing}

// position is a position among some sidecars: at of of, from 0; of is 0 where it is not known.
type position struct{ index, count int }

// SetMembers takes in all members, in an order that they share, as that of a hash of their names, and which of them this
// sidecar is. One that is not among them knows nobody. It is to be called when any of this changes: a member, a Level, or
// this sidecar's own.
//
// Its place in subsets is that among those alike, of its zone and Level; who is not known to be unlike counts as alike, so
// that without any Levels places go by number.
func (b *Balancer) SetMembers(now Time, self int, peers []Peer) {
	var all, alike position
	if self >= 0 && self < len(peers) {
		all = position{self, len(peers)}
	}
	for i, p := range peers {
		like := (p.Zone == "" || p.Zone == b.settings.Zone) && (p.TrafficLevel == 0 || p.TrafficLevel == b.trafficLevel)
		if all.count == 0 || b.trafficLevel == 0 || !like && i != self {
			continue
		}
		if alike.count++; i < self {
			alike.index++
		}
	}
	changed := alike != b.amongAlike
	if b.amongAll, b.amongAlike = all, alike; changed {
		b.regroup(now)
		b.decay(now, 0)
	}
}

// TrafficLevel stands for how much traffic this sidecar has for the servers of its zone: 1 for much, one more for each
// halving, up to 11; 0 until that is known, some 12 s after the first list. Sidecars of one level use as many servers.
// It changes seldom, and not by noise.
func (b *Balancer) TrafficLevel() int { return b.trafficLevel }

// turnPosition is this sidecar's place for turns: among the members, or else among its peers as the settings tell.
func (b *Balancer) turnPosition() turns.Position {
	if b.amongAll.count > 0 {
		return turns.Position{Index: b.amongAll.index, Count: b.amongAll.count}
	}
	return turns.Position{Index: b.settings.Self, Count: b.settings.Peers}
}

// orderHash is the endpoint's in the order that members share.
func (e *endpoint) orderHash() uint64 { return xxhash.Sum64String(e.ID) }

// ReceiveReport takes in what a member said of servers, if it is newer than what it said before: number seq of its process that began
// at start, age ago. The start of a server's process is Endpoint.Started, as this sidecar has it.
func (b *Balancer) ReceiveReport(now Time, origin string, start int64, seq uint64, age time.Duration, r signals.Report) {
	b.reports.Receive(origin, start, seq, age, r, now)
}

// RemoveMember takes in that a sidecar is no member any more: what it said counts no longer.
func (b *Balancer) RemoveMember(origin string) { b.reports.Remove(origin) }

// LocalReport is what this sidecar has to say of servers, by what it saw itself.
func (b *Balancer) LocalReport(now Time) signals.Report {
	r := signals.Report{Zone: b.settings.Zone, TrafficLevel: b.trafficLevel}
	for _, e := range b.endpoints {
		if !e.inSubset || !e.isReady() {
			continue
		}
		at := slices.IndexFunc(r.Uses, func(u signals.ZoneUse) bool { return u.Zone == e.Zone })
		if at < 0 {
			at = len(r.Uses)
			r.Uses = append(r.Uses, signals.ZoneUse{Zone: e.Zone})
		}
		r.Uses[at].Servers++
		kind, count, when := b.localVerdict(e, now)
		// Danger: where hundreds see the same, what they say would fill all that members can carry. Those who speak go on:
		// if all fell silent that hear others, nobody would be left.
		if e.reported = kind > signals.None && (e.reported || !b.reports.WellWitnessed(e.process(), kind)); e.reported {
			r.Verdicts = append(r.Verdicts, signals.Verdict{Process: e.process(), Zone: e.Zone, Kind: kind,
				Count: count, Age: now - when})
		}
	}
	return signals.LocalReport(r)
}

// process is the endpoint's present process, as far as the list tells.
func (e *endpoint) process() signals.Process {
	return signals.Process{Server: e.ID, Start: int64(e.Started)}
}
