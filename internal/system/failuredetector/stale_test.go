package failuredetector

import (
	"slices"
	"testing"
	"time"
)

// tickUntilIndirectPing makes a detector of node a watch b, passes it one heartbeat of b, and ticks until it sends an indirect ping
// about b. It returns the time, the ping and its recipient.
func tickUntilIndirectPing(t *testing.T, d *Detector) (now Time, ping Envelope) {
	t.Helper()
	d.SetMembers(0, []Member{{Node: "a", Incarnation: 1}, {Node: "b", Incarnation: 2}, {Node: "c", Incarnation: 3}})
	d.Receive(0, Message{Kind: Heartbeat, From: "b", Incarnation: 2})
	for now = 0; now < 5*time.Second; now += 100 * time.Millisecond {
		d.Tick(now)
		out := d.Ready()
		if i := slices.IndexFunc(out.Send, func(e Envelope) bool { return e.Message.Kind == IndirectPing && e.Message.Node == "b" }); i >= 0 {
			return now, out.Send[i]
		}
	}
	t.Fatal("no indirect ping was sent although b is silent")
	return 0, Envelope{}
}

// replyAfter passes a detector the reply to an indirect ping after a wait during which it ticks, and returns whether the reply counts
// as contact with b, and whether the detector is connected.
func replyAfter(t *testing.T, wait time.Duration, acceptStale bool) (contacted, connected bool) {
	t.Helper()
	d := NewDetector(Options{Self: "a", Incarnation: 1, knobs: TestingKnobs{AcceptStaleReplies: acceptStale}})
	now, ping := tickUntilIndirectPing(t, d)
	for end := now + wait; now < end; now += 100 * time.Millisecond {
		d.Tick(now)
	}
	before := d.watched["b"].lastContact
	d.Receive(now, Message{Kind: IndirectAck, From: "c", Incarnation: 3, Nonce: ping.Message.Nonce, Node: "b", NodeIncarnation: 2})
	return d.watched["b"].lastContact > before, d.Connected(now)
}

// TestStaleRepliesAreIgnored: a reply that arrives 20 s after its ping neither counts as contact with a node nor makes this node
// connected, even if this process was not paused. Otherwise old replies that arrive when a partition heals would keep a dead node live.
func TestStaleRepliesAreIgnored(t *testing.T) {
	if contacted, connected := replyAfter(t, 100*time.Millisecond, false); !contacted || !connected {
		t.Errorf("reply in time: contact with b %v, connected %v; want true, true", contacted, connected)
	}
	if contacted, connected := replyAfter(t, 20*time.Second, false); contacted || connected {
		t.Errorf("stale reply: contact with b %v, connected %v; want false, false", contacted, connected)
	}
	if contacted, connected := replyAfter(t, 20*time.Second, true); !contacted || !connected {
		t.Errorf("stale reply accepted by knob: contact with b %v, connected %v; want true, true", contacted, connected)
	}
}

// TestReplyToFormerIncarnationIsIgnored: a reply to a ping of the former process at this address is not valid for this process.
func TestReplyToFormerIncarnationIsIgnored(t *testing.T) {
	_, ping := tickUntilIndirectPing(t, NewDetector(Options{Self: "a", Incarnation: 1}))
	next := NewDetector(Options{Self: "a", Incarnation: 9})
	now, _ := tickUntilIndirectPing(t, next)
	next.Receive(now, Message{Kind: IndirectNack, From: "c", Incarnation: 3, Nonce: ping.Message.Nonce, Node: "b", NodeIncarnation: 2})
	if next.Connected(now) || next.watched["b"].nacks["c"] {
		t.Error("a reply to a ping of the former incarnation was accepted")
	}
}

// TestIndirectAckIsDatedByItsPing: a reply is dated back to when its ping was sent, since it may have been in flight since then.
func TestIndirectAckIsDatedByItsPing(t *testing.T) {
	d := NewDetector(Options{Self: "a", Incarnation: 1})
	now, ping := tickUntilIndirectPing(t, d)
	d.Receive(now+300*time.Millisecond, Message{Kind: IndirectAck, From: "c", Incarnation: 3, Nonce: ping.Message.Nonce, Node: "b",
		NodeIncarnation: 2, Age: 200 * time.Millisecond})
	if got := d.watched["b"].lastContact; got != now-200*time.Millisecond {
		t.Errorf("last contact with b at %v, want 200 ms before the ping at %v", got, now)
	}
}

// TestStaleProbeResultIsIgnored: a probe response that is read long after its request is not evidence that the node is alive.
func TestStaleProbeResultIsIgnored(t *testing.T) {
	for _, delay := range []time.Duration{100 * time.Millisecond, 20 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			d := NewDetector(Options{Self: "a", Incarnation: 1})
			now, _ := tickUntilIndirectPing(t, d)
			for sentAt := now; now < sentAt+delay; now += 100 * time.Millisecond {
				d.Tick(now)
			}
			d.ProbeResult(now, now-delay, "b", 2, true)
			if got, want := d.watched["b"].lastContact > 0, delay < time.Second; got != want {
				t.Errorf("probe result after %v: contact with b %v", delay, got)
			}
		})
	}
}
