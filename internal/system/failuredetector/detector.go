// Package failuredetector detects failed processes of a cluster, after SWIM (A. Das, I. Gupta, A. Motivala, "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", DSN 2002).
//
// The problem: decide within some seconds that a process is down, without doing so where only one path to it is lost, where the
// deciding process was itself paused or partitioned, or where messages of a former process at the same address arrive late.
//
// Terms: the watchers of a node are the few nodes to which it sends heartbeats; rendezvous hashing selects them (package ownership),
// so all nodes with the same membership list agree on them. An incarnation is the random number of one process of a node. A watcher
// suspects a node that has been silent for SuspectTimeout; it then sends indirect pings to the other watchers, which reply with the
// age of their last contact, and probes the node over a second path (HTTP). Contact refutes the suspicion; a failed probe and no
// refutation until the deadline confirm it, and the watcher reports that incarnation as down.
//
// Two things differ from SWIM: nodes push heartbeats instead of being pinged in random order, and down reports go to an agreed
// membership list instead of being gossiped. A process that is wrongly reported as down refutes the report by registering again.
//
// Invariants:
//
//   - A node is reported down only while the detector is connected: another node has replied to one of its pings since it started or
//     resumed from a pause, and there was contact within SuspectTimeout. A process that was paused discards its suspicions.
//   - A reply is dated back to when its ping was sent, minus the age that the replying node states, and is valid only for
//     SuspectTimeout. So neither buffered nor second-hand replies keep a dead process in the membership list.
//   - A down report names an incarnation and never affects another one.
//
// Bound: every connected watcher reports a dead process as down within SuspectTimeout + ProbeTimeout and two ticks after the
// arrival of its last heartbeat at any watcher.
package failuredetector

import (
	"slices"
	"time"
)

// Time is a reading of the caller's monotonic clock.
type Time = time.Duration

// Member is an entry of the agreed membership list: a live node.
type Member struct {
	Node        string
	Incarnation uint64
	Address     string // ip:port of its internal port; the Detector does not use it
}

// DownReport reports that a process is down, or retracts an earlier report.
type DownReport struct {
	Node        string
	Incarnation uint64
	Down        bool
}

// Envelope is a message with its recipient.
type Envelope struct {
	To      string
	Message Message
}

// Output holds the actions that a Detector requests of its caller.
type Output struct {
	Send        []Envelope
	Probe       []string // nodes to probe over a second path; the outcome goes to ProbeResult
	DownReports []DownReport
	Resumed     bool // this process was paused: it must not act on its view of other nodes until it is connected again
}

// Detector is the pure core of a failure detector: Receive, ProbeResult, SetMembers and Tick are its inputs, and Ready returns the
// actions that it requests. It does no I/O and is not safe for concurrent use. The times passed to it must not decrease.
type Detector struct {
	options       Options
	started       bool
	lastInput     Time
	nextHeartbeat Time

	lastMembers []Member        // as last passed to SetMembers
	isMember    map[string]bool // self included
	live        []string        // the members in order, self included
	watchers    []string        // watchers of this node
	watched     map[string]*watchedNode

	pings       pingLog
	connected   bool // a ping has been answered since the process started or resumed
	lastContact Time // with any node

	output Output
}

// NewDetector returns a detector without members.
func NewDetector(options Options) *Detector {
	return &Detector{
		options:  options.withDefaults(),
		watched:  map[string]*watchedNode{},
		isMember: map[string]bool{},
		pings:    pingLog{nonce: options.Incarnation},
	}
}

// Ready returns the actions requested since the last call to Ready.
func (d *Detector) Ready() Output {
	out := d.output
	d.output = Output{}
	return out
}

// Connected reports whether a ping of this process has been answered since it started or resumed, and it had contact with another
// node within SuspectTimeout. A process that is not connected may itself be partitioned or replaced, and must not act on its view of
// other nodes.
func (d *Detector) Connected(now Time) bool {
	return d.connected && now-d.lastInput <= d.options.PauseThreshold && now-d.lastContact <= d.options.SuspectTimeout
}

// SetMembers replaces the membership list. It need not contain this node.
func (d *Detector) SetMembers(now Time, members []Member) {
	d.advanceClock(now)
	if d.live != nil && slices.Equal(members, d.lastMembers) {
		return
	}
	d.lastMembers = slices.Clone(members)
	incarnations := d.setLive(members)
	d.watchers = Watchers(d.options.Self, d.live, d.options.Watchers)
	d.setWatched(now, incarnations)
}

// setLive sets the live nodes, each once, and returns their incarnations.
func (d *Detector) setLive(members []Member) map[string]uint64 {
	d.live = make([]string, 0, len(members)+1)
	incarnations := make(map[string]uint64, len(members))
	clear(d.isMember)
	for _, m := range append(slices.Clone(members), Member{Node: d.options.Self, Incarnation: d.options.Incarnation}) {
		if d.isMember[m.Node] {
			continue
		}
		d.isMember[m.Node] = true
		d.live = append(d.live, m.Node)
		incarnations[m.Node] = m.Incarnation
	}
	return incarnations
}

// setWatched starts watching new nodes and incarnations, and stops watching nodes that are no longer assigned to this node.
func (d *Detector) setWatched(now Time, incarnations map[string]uint64) {
	watched := map[string]*watchedNode{}
	for _, node := range Watched(d.options.Self, d.live, d.options.Watchers) {
		w, incarnation := d.watched[node], incarnations[node]
		switch {
		case w == nil:
			w = &watchedNode{incarnation: incarnation, watchedSince: now}
		case w.isNewIncarnation(incarnation):
			w.replace(now, incarnation)
		}
		watched[node] = w
	}
	d.watched = watched
}

// advanceClock records the time of an input, and detects that this process was paused before it.
func (d *Detector) advanceClock(now Time) {
	if d.started && now-d.lastInput > d.options.PauseThreshold {
		d.resumeAfterPause(now)
	}
	d.started, d.lastInput = true, max(d.lastInput, now)
}

// resumeAfterPause discards all suspicions and down states: the silence of other nodes may only mean that this process was not receiving.
func (d *Detector) resumeAfterPause(now Time) {
	d.output.Resumed = true
	d.connected = false
	d.pings.forget()
	d.nextHeartbeat = now
	for _, w := range d.watched {
		w.watchedSince, w.down = now, false
		w.clearSuspicion()
	}
}

// Tick sends heartbeats that are due and evaluates the watched nodes. It must be called several times per HeartbeatInterval.
func (d *Detector) Tick(now Time) {
	d.advanceClock(now)
	if now >= d.nextHeartbeat {
		d.sendHeartbeats(now)
	}
	for _, node := range d.sortedWatched() {
		d.evaluateLiveness(now, node, d.watched[node])
	}
}

// sortedWatched returns the watched nodes in a fixed order, so that runs are reproducible.
func (d *Detector) sortedWatched() []string {
	nodes := make([]string, 0, len(d.watched))
	for n := range d.watched {
		nodes = append(nodes, n)
	}
	slices.Sort(nodes)
	return nodes
}

// sendHeartbeats sends a heartbeat to each watcher. Without recent contact it sends pings, whose replies show that this node is
// connected even if it watches no node; while it is not connected, it also sends them to the nodes that it watches.
func (d *Detector) sendHeartbeats(now Time) {
	d.scheduleHeartbeat(now)
	message, recipients := Message{Kind: Heartbeat}, d.watchers
	if !d.connected || now-d.lastContact >= 2*d.options.HeartbeatInterval {
		message = Message{Kind: Ping, Nonce: d.pings.record(now)}
	}
	if !d.connected {
		recipients = d.watchersAndWatched()
	}
	for _, node := range recipients {
		d.send(node, message)
	}
}

// scheduleHeartbeat sets when the next heartbeat is due. Missed heartbeats are not sent later.
func (d *Detector) scheduleHeartbeat(now Time) {
	d.nextHeartbeat += d.options.HeartbeatInterval
	if d.nextHeartbeat <= now {
		d.nextHeartbeat = now + d.options.HeartbeatInterval
	}
}

// watchersAndWatched returns the watchers of this node and then the nodes that it watches, each once.
func (d *Detector) watchersAndWatched() []string {
	nodes := slices.Clone(d.watchers)
	for _, node := range d.sortedWatched() {
		if !slices.Contains(nodes, node) {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

func (d *Detector) send(to string, m Message) {
	m.From, m.Incarnation = d.options.Self, d.options.Incarnation
	d.output.Send = append(d.output.Send, Envelope{To: to, Message: m})
}

// Leave announces a graceful shutdown to the watchers, so that they do not report this process as down.
func (d *Detector) Leave(now Time) {
	d.advanceClock(now)
	for _, node := range d.watchers {
		d.send(node, Message{Kind: Leave})
	}
}
