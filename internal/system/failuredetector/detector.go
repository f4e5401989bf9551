// Package failuredetector is failure detection: every node sends heartbeats to the few nodes that rendezvous hashing names as its
// monitors, and these suspect, ask over second paths and give verdicts that carry the incarnation of a process.
package failuredetector

import (
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/ownership"
)

// Time is a reading of the caller's monotonic clock.
type Time = time.Duration

// Watchers names the k nodes that watch node: those that it beats to. It is the same for all who count the same nodes
// live.
func Watchers(node string, live []string, k int) []string {
	others := slices.DeleteFunc(slices.Clone(live), func(n string) bool { return n == node })
	return ownership.Owners(node, others, k)
}

// Watched names the nodes that self watches, in the order of live: those that count self among their Watchers.
func Watched(self string, live []string, k int) []string {
	nodes := ownership.NewNodes(live)
	var watched []string
	for _, n := range live {
		if n != self && nodes.IsOwner(n, self, n, k) {
			watched = append(watched, n)
		}
	}
	return watched
}

// Options are those of a Detector. Zero values take the defaults.
type Options struct {
	Self              string
	Incarnation       uint64        // of this process; chosen at random at its start
	Watchers          int           // 3
	HeartbeatInterval time.Duration // 400 ms
	SuspectTimeout    time.Duration // without a beat, after which a node is suspected; 3.5 beats
	ProbeTimeout      time.Duration // that second paths have until the verdict; 2 beats
	PauseThreshold    time.Duration // in this process's own ticks, after which it was paused; 1 s

	acceptStaleReplies bool // takes a protection out, so that a test shows what it is for: answers count whenever they come
}

func (o Options) withDefaults() Options {
	if o.Watchers <= 0 {
		o.Watchers = 3
	}
	if o.HeartbeatInterval <= 0 {
		o.HeartbeatInterval = 400 * time.Millisecond
	}
	if o.SuspectTimeout <= 0 {
		o.SuspectTimeout = o.HeartbeatInterval * 7 / 2
	}
	if o.ProbeTimeout <= 0 {
		o.ProbeTimeout = 2 * o.HeartbeatInterval
	}
	if o.PauseThreshold <= 0 {
		o.PauseThreshold = time.Second
	}
	return o
}

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

// watchedNode is what is believed of one watched node.
type watchedNode struct {
	incarnation          uint64
	retiredIncarnations  []uint64 // the last few former incarnations: a feed of members that lags may still tell of them
	watchedSince         Time     // watched from then on; moved on when this process resumes
	lastContact          Time     // when it was last heard, by whomever
	contacted            bool
	left                 bool // it has left
	suspected            bool
	suspicionDeadline    Time // of a suspicion
	lastIndirectPing     Time // when the other watchers were last asked
	lastIncarnationProbe Time // when a second path was last asked for the incarnation
	probeFailed          bool
	nacks                map[string]bool // watchers that answered that they do not hear it either
	down                 bool            // a verdict was given
	lastVerdict          Time            // when
}

// sentPing is a moment at which something was asked.
type sentPing struct {
	nonce  uint64
	sentAt Time
}

const (
	maxRetiredIncarnations = 4
	maxRecentPings         = 64 // remembered: those of some seconds
)

// recordPing gives the nonce of what is asked now. Answers count for Silence.
func (d *Detector) recordPing(now Time) uint64 {
	if n := len(d.recentPings); n > 0 && d.recentPings[n-1].sentAt == now {
		return d.recentPings[n-1].nonce
	}
	d.nonce++
	if len(d.recentPings) >= maxRecentPings {
		d.recentPings = slices.Delete(d.recentPings, 0, 1)
	}
	d.recentPings = append(d.recentPings, sentPing{d.nonce, now})
	return d.nonce
}

// pingSentAt gives when the question of an answer was put; false where that was never, or too long ago for an answer to say
// anything of now.
func (d *Detector) pingSentAt(now Time, nonce uint64) (Time, bool) {
	if d.options.acceptStaleReplies {
		return now, true
	}
	for _, q := range d.recentPings {
		if q.nonce == nonce {
			return q.sentAt, now-q.sentAt < d.options.SuspectTimeout
		}
	}
	return 0, false
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

// replace starts to watch a new process of a node.
func (w *watchedNode) replace(now Time, incarnation uint64) {
	retired := append(slices.DeleteFunc(w.retiredIncarnations, func(r uint64) bool { return r == incarnation }), w.incarnation)
	if len(retired) > maxRetiredIncarnations {
		retired = slices.Delete(retired, 0, 1)
	}
	*w = watchedNode{incarnation: incarnation, retiredIncarnations: retired, watchedSince: now}
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
