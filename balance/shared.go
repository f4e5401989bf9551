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
	Zone  string
	Level int
}

// defaultBound is Settings.Bound where none is set.
const defaultBound = 2 * time.Second

func newBook(set Settings) *signals.Book {
	return signals.NewBook(set.Zone, cmp.Or(set.Bound, defaultBound))
}

// failure is what an outcome that ejects a server says of how it fails.
var failure = map[Outcome]signals.Kind{TimedOut: signals.Silent, Errored: signals.Refusing, ConnectFailed: signals.Refusing,
	Reset: signals.Refusing}

// place is a place among some sidecars: at of of, from 0; of is 0 where it is not known.
type place struct{ at, of int }

// Members takes in all members, in an order that they share, as that of a hash of their names, and which of them this
// sidecar is. One that is not among them knows nobody. It is to be called when any of this changes: a member, a Level, or
// this sidecar's own.
//
// Its place in subsets is that among those alike, of its zone and Level; who is not known to be unlike counts as alike, so
// that without any Levels places go by number.
func (b *Balancer) Members(now Time, self int, peers []Peer) {
	var all, alike place
	if self >= 0 && self < len(peers) {
		all = place{self, len(peers)}
	}
	for i, p := range peers {
		like := (p.Zone == "" || p.Zone == b.set.Zone) && (p.Level == 0 || p.Level == b.level)
		if all.of == 0 || b.level == 0 || !like && i != self {
			continue
		}
		if alike.of++; i < self {
			alike.at++
		}
	}
	changed := alike != b.alike
	if b.all, b.alike = all, alike; changed {
		b.regroup(now)
		b.fade(now, 0)
	}
}

// Level stands for how much traffic this sidecar has for the servers of its zone: 1 for much, one more for each
// halving, up to 11; 0 until that is known, some 12 s after the first list. Sidecars of one level use as many servers.
// It changes seldom, and not by noise.
func (b *Balancer) Level() int { return b.level }

// view is this sidecar's place for turns: among the members, or else among its peers as the settings tell.
func (b *Balancer) view() turns.View {
	if b.all.of > 0 {
		return turns.View{Place: b.all.at, Count: b.all.of}
	}
	return turns.View{Place: b.set.Self, Count: b.set.Peers}
}

// hash is the endpoint's in the order that members share.
func (e *endpoint) hash() uint64 { return xxhash.Sum64String(e.ID) }

// Told takes in what a member said of servers, if it is newer than what it said before: number seq of its process that began
// at start, age ago. The start of a server's process is Endpoint.Started, as this sidecar has it.
func (b *Balancer) Told(now Time, origin string, start int64, seq uint64, age time.Duration, r signals.Report) {
	b.book.Told(origin, start, seq, age, r, now)
}

// Gone takes in that a sidecar is no member any more: what it said counts no longer.
func (b *Balancer) Gone(origin string) { b.book.Gone(origin) }

// Witness is what this sidecar has to say of servers, by what it saw itself.
func (b *Balancer) Witness(now Time) signals.Report {
	r := signals.Report{Room: b.set.Zone, Level: b.level}
	for _, e := range b.endpoints {
		if !e.active || !e.ready() {
			continue
		}
		at := slices.IndexFunc(r.Uses, func(u signals.Use) bool { return u.Room == e.Zone })
		if at < 0 {
			at = len(r.Uses)
			r.Uses = append(r.Uses, signals.Use{Room: e.Zone})
		}
		r.Uses[at].Servers++
		kind, count, when := b.fails(e, now)
		// Danger: where hundreds see the same, what they say would fill all that members can carry. Those who speak go on:
		// if all fell silent that hear others, nobody would be left.
		if e.said = kind > signals.None && (e.said || !b.book.Loud(e.subject(), kind)); e.said {
			r.Verdicts = append(r.Verdicts, signals.Verdict{Subject: e.subject(), Room: e.Zone, Kind: kind,
				Count: count, Age: now - when})
		}
	}
	return signals.Own(r)
}

// subject is the endpoint's present process, as far as the list tells.
func (e *endpoint) subject() signals.Subject {
	return signals.Subject{Server: e.ID, Start: int64(e.Started)}
}
