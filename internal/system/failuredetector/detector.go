// Package failuredetector is failure detection: every node sends heartbeats to the few nodes that rendezvous hashing names as its
// monitors, and these suspect, ask over second paths and give verdicts that carry the incarnation of a process.
package failuredetector

import (
	"slices"
	"time"
)

// Time is a reading of the caller's monotonic clock.
type Time = time.Duration

// Member is a live node as the agreed members tell of it.
type Member struct {
	Node        string
	Incarnation uint64
	Address     string // ip:port of its inner port; the Detector does not read it
}

// Verdict says that a process is down, or that one that was called down was heard again.
type Verdict struct {
	Node        string
	Incarnation uint64
	Down        bool
}

// Envelope is a message and whom it goes to.
type Envelope struct {
	To      string
	Message Message
}

// Output is what a Detector wants done.
type Output struct {
	Send     []Envelope
	Probe    []string // nodes to call over a second path; ProbeResult takes what came of it
	Verdicts []Verdict
	Resumed  bool // this process was paused: nothing that it believed holds until Connected
}

// Detector is the pure core. It is not safe for concurrent use; its time never goes back.
//
// A dead process has a verdict from each of its watchers that is connected within Silence + Probe and two ticks of
// its last beat's arrival at any of them.
type Detector struct {
	options       Options
	lastInput     Time // of the last input
	started       bool
	nextHeartbeat Time
	watchers      []string // of this node
	watched       map[string]*watchedNode
	lastMembers   []Member // the members, as they were told last
	isMember      map[string]bool
	live          []string // the members, self included

	// Nonces tell answers to what was asked a moment ago from what lay in a buffer, or was asked by a former process.
	nonce       uint64
	recentPings []sentPing // the newest last
	connected   bool       // somebody has answered since the process started or resumed
	lastContact Time       // when anybody was last heard
	output      Output
}

// NewDetector makes a detector that knows no members.
func NewDetector(options Options) *Detector {
	return &Detector{options: options.withDefaults(), watched: map[string]*watchedNode{}, isMember: map[string]bool{}, nonce: options.Incarnation}
}

// Ready gives what is to be done since the last Ready.
func (d *Detector) Ready() Output {
	out := d.output
	d.output = Output{}
	return out
}

// Connected tells whether this process has heard from anybody since it started or resumed, and lately. One that is not may
// be the one that is cut off or was replaced, and must not act on what it believes.
func (d *Detector) Connected(now Time) bool {
	return d.connected && now-d.lastInput <= d.options.PauseThreshold && now-d.lastContact <= d.options.SuspectTimeout
}

// SetMembers takes over the live nodes, self included or not.
func (d *Detector) SetMembers(now Time, members []Member) {
	d.advanceClock(now)
	if d.live != nil && slices.Equal(members, d.lastMembers) {
		return
	}
	d.lastMembers = slices.Clone(members)
	live := make([]string, 0, len(members)+1)
	incarnations := make(map[string]uint64, len(members))
	clear(d.isMember)
	for _, m := range append(slices.Clone(members), Member{Node: d.options.Self, Incarnation: d.options.Incarnation}) {
		if d.isMember[m.Node] {
			continue
		}
		d.isMember[m.Node] = true
		live = append(live, m.Node)
		incarnations[m.Node] = m.Incarnation
	}
	d.live = live
	d.watchers = Watchers(d.options.Self, live, d.options.Watchers)
	watched := map[string]*watchedNode{}
	for _, node := range Watched(d.options.Self, live, d.options.Watchers) {
		w, inc := d.watched[node], incarnations[node]
		switch {
		case w == nil:
			w = &watchedNode{incarnation: inc, watchedSince: now}
		case inc != w.incarnation && !slices.Contains(w.retiredIncarnations, inc):
			w.replace(now, inc)
		}
		watched[node] = w
	}
	d.watched = watched
}

// advanceClock notes that time goes on, and notices that this process was paused.
func (d *Detector) advanceClock(now Time) {
	if d.started && now-d.lastInput > d.options.PauseThreshold {
		d.resumeAfterPause(now)
	}
	d.started, d.lastInput = true, max(d.lastInput, now)
}

// resumeAfterPause forgets what silence seemed to tell: it was this process that did not listen.
func (d *Detector) resumeAfterPause(now Time) {
	d.output.Resumed = true
	d.connected = false
	d.recentPings = nil
	d.nextHeartbeat = now
	for _, w := range d.watched {
		w.watchedSince, w.suspected, w.down, w.nacks = now, false, false, nil
	}
}

// Tick is to be called several times a beat.
func (d *Detector) Tick(now Time) {
	d.advanceClock(now)
	if now >= d.nextHeartbeat {
		d.sendHeartbeats(now)
	}
	for _, node := range d.sortedWatched() {
		d.evaluateLiveness(now, node, d.watched[node])
	}
}

// sortedWatched gives the watched nodes in a steady order, so that a run can be repeated.
func (d *Detector) sortedWatched() []string {
	nodes := make([]string, 0, len(d.watched))
	for n := range d.watched {
		nodes = append(nodes, n)
	}
	slices.Sort(nodes)
	return nodes
}

func (d *Detector) sendHeartbeats(now Time) {
	// Beats that were missed are not made up for.
	if d.nextHeartbeat += d.options.HeartbeatInterval; d.nextHeartbeat <= now {
		d.nextHeartbeat = now + d.options.HeartbeatInterval
	}
	message := Message{Kind: Heartbeat}
	to := d.watchers
	if !d.connected || now-d.lastContact >= 2*d.options.HeartbeatInterval {
		// Few are heard of late: ask for an answer, so that a node that watches nobody knows that it is connected.
		message = Message{Kind: Ping, Nonce: d.recordPing(now)}
		if !d.connected {
			for _, node := range d.sortedWatched() {
				if !slices.Contains(to, node) {
					to = append(slices.Clip(to), node)
				}
			}
		}
	}
	for _, node := range to {
		d.send(node, message)
	}
}

func (d *Detector) send(to string, m Message) {
	m.From, m.Incarnation = d.options.Self, d.options.Incarnation
	d.output.Send = append(d.output.Send, Envelope{To: to, Message: m})
}

// Leave tells it to those that watch this node, so that its end is no failure.
func (d *Detector) Leave(now Time) {
	d.advanceClock(now)
	for _, node := range d.watchers {
		d.send(node, Message{Kind: Leave})
	}
}
