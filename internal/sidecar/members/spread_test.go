package members

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/hashicorp/memberlist"

	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// simulatedNetwork carries the packets of members without sockets, and loses some of them. Time passes in steps.
type simulatedNetwork struct {
	all         map[string]*Members
	list        []*Members
	asks        []time.Duration // when each asks next
	loss        float64         // probability that a packet is lost
	bytes, lost int             // bytes sent, packets lost
}

const networkStep = 10 * time.Millisecond

func newSimulatedNetwork(t *testing.T, n int, loss float64) *simulatedNetwork {
	network := &simulatedNetwork{all: map[string]*Members{}, asks: make([]time.Duration, n), loss: loss}
	for i := range n {
		m, err := New(Options{Name: fmt.Sprintf("sidecar-%d", i), Listen: "127.0.0.1:0"})
		if err != nil {
			t.Fatal(err)
		}
		network.all[fmt.Sprintf("127.0.0.1:%d", i+1)] = m
		network.list = append(network.list, m)
		network.asks[i] = rand.N(busyExchangeInterval)
	}
	for _, m := range network.list {
		for i, o := range network.list {
			m.NotifyJoin(&memberlist.Node{Name: o.ownNode, Addr: net.IPv4(127, 0, 0, 1), Port: uint16(i + 1)})
		}
		m.ready(true)
	}
	return network
}

// carry delivers packets to a peer, and its answers.
func (a *simulatedNetwork) carry(to string, packets [][]byte) {
	for _, b := range packets {
		if a.bytes += len(b); rand.Float64() < a.loss {
			a.lost++
			continue
		}
		peer := a.all[to]
		peer.NotifyMsg(b)
		for len(peer.questions) > 0 {
			back, answers := peer.answerQuestion(<-peer.questions)
			a.carry(back, answers)
		}
	}
}

// step has the members ask whose question is due, and all gossip once in gossipInterval.
func (a *simulatedNetwork) step(now time.Duration) {
	for i, member := range a.list {
		for _, f := range member.releaseDelayed() {
			member.queueFrame(f)
		}
		if now >= a.asks[i] {
			to, asks, _ := member.nextQuestion()
			a.carry(to, asks)
			a.asks[i] = now + busyExchangeInterval*3/4 + rand.N(busyExchangeInterval/2)
		}
		for range gossipNodes {
			if (now+time.Duration(i%10)*networkStep)%gossipInterval != 0 {
				continue
			}
			to, delivered := rand.IntN(len(a.list)), rand.Float64() >= a.loss
			for _, b := range member.GetBroadcasts(3, 1380) {
				if a.bytes += len(b); delivered && a.list[to] != member {
					a.list[to].NotifyMsg(b)
				}
			}
		}
	}
}

const (
	spreadDuration = 5 * time.Second
	floodKind      = 7 // the kind of the states that one member floods the others with
)

// spreadRun is a run of TestUpdatesReachAllMembers: all members publish, and what each receives is counted.
type spreadRun struct {
	count         int  // of members
	floods, rogue bool // the first member publishes a hundred times its share; and does not limit itself

	network *simulatedNetwork
	ages    *hdrhistogram.Histogram // milliseconds from publish to notification
	latest  []map[string]time.Time  // by receiver, and by origin and kind: when the newest received state was published
	began   time.Time
	flooded int // states of the flood that were accepted
}

// publish publishes a state of a size, which says when it was published.
func (run *spreadRun) publish(t *testing.T, m *Members, kind uint8, size int) {
	t.Helper()
	payload := append(binary.BigEndian.AppendUint64(nil, uint64(time.Since(run.began))), make([]byte, size-8)...)
	if err := m.Publish(kind, payload); err != nil {
		t.Fatal(err)
	}
}

// publishAll has each member publish two states a second, of 100 and 200 bytes, at steps of its own.
func (run *spreadRun) publishAll(t *testing.T, now time.Duration) {
	t.Helper()
	const stepsPerSecond = int(time.Second / networkStep)
	for i, m := range run.network.list {
		if kind := (int(now/networkStep) + i*37) % stepsPerSecond; kind < 2 {
			run.publish(t, m, uint8(kind), 100+100*kind)
		}
	}
}

// flood has the first member publish states of the largest size.
func (run *spreadRun) flood(t *testing.T) {
	t.Helper()
	m := run.network.list[0]
	for range 10 {
		if run.rogue {
			delete(m.budgets, m.options.Name)
		}
		run.publish(t, m, floodKind, MaxPayloadBytes)
	}
}

// receiveAll takes what each member would be notified of, and checks its age.
func (run *spreadRun) receiveAll(t *testing.T) {
	t.Helper()
	for i, m := range run.network.list {
		for _, update := range m.ready(false).updates {
			published := run.began.Add(time.Duration(binary.BigEndian.Uint64(update.Payload)))
			if update.Kind < floodKind {
				_ = run.ages.RecordValue(time.Since(published).Milliseconds())
				run.latest[i][fmt.Sprint(update.Origin, update.Kind)] = published
			} else {
				run.flooded++
			}
			if age := time.Since(published); update.Age > age+time.Millisecond*20 || update.Age > DefaultTTL {
				t.Fatalf("%v old, said to be %v", age, update.Age)
			}
		}
	}
}

// missing counts the states of all members that a receiver has not received within the TTL.
func (run *spreadRun) missing() int {
	missing := 0
	for _, latest := range run.latest {
		missing += 2 * (run.count - 1)
		for _, published := range latest {
			if time.Since(published) <= DefaultTTL {
				missing--
			}
		}
	}
	return missing
}

// sumCounts adds up the members' counts.
func (run *spreadRun) sumCounts() (sum Counts) {
	for _, m := range run.network.list {
		sum.Updates += m.counts.Updates
		sum.Duplicates += m.counts.Duplicates
		sum.RateLimited += m.counts.RateLimited
		sum.Delayed += m.counts.Delayed
	}
	return sum
}

// check checks what was received in the whole run.
func (run *spreadRun) check(t *testing.T) {
	t.Helper()
	sum, missing, n := run.sumCounts(), run.missing(), run.count
	t.Logf("p50 %d ms, p99 %d ms, max %d ms; updates %d, duplicates %d, rate limited %d, delayed %d; %d of %d missing; %.1f kB/s each",
		run.ages.ValueAtQuantile(50), run.ages.ValueAtQuantile(99), run.ages.Max(), sum.Updates, sum.Duplicates, sum.RateLimited, sum.Delayed,
		missing, 2*n*(n-1), float64(run.network.bytes)/float64(n)/spreadDuration.Seconds()/1000)
	if p99 := run.ages.ValueAtQuantile(99); p99 > 1500 || p99 == 0 || missing*1000 > 2*n*n {
		t.Errorf("p99 %d ms, %d missing", p99, missing)
	}
	run.checkLimits(t, sum)
}

// checkLimits checks who limited the flood: its origin, or the others where it is a rogue; and that nothing else was limited.
func (run *spreadRun) checkLimits(t *testing.T, sum Counts) {
	t.Helper()
	switch {
	case !run.floods && sum.RateLimited+sum.Delayed > 0,
		run.floods && run.rogue != (sum.RateLimited > 0),
		run.floods && !run.rogue && sum.Delayed == 0:
		t.Errorf("rate limited %d, delayed %d", sum.RateLimited, sum.Delayed)
	}
	maxFlooded := (spreadDuration.Seconds() + burstSeconds) * receiveLenience * originShare(run.count) / MaxPayloadBytes * float64(run.count-1)
	if float64(run.flooded) > maxFlooded {
		t.Errorf("%d of the flood accepted, over %.0f", run.flooded, maxFlooded)
	}
}

// play runs the members for spreadDuration.
func (run *spreadRun) play(t *testing.T) {
	t.Helper()
	run.network = newSimulatedNetwork(t, run.count, 0.13)
	run.ages = hdrhistogram.New(1, 10_000, 3)
	run.latest = make([]map[string]time.Time, run.count)
	for i := range run.latest {
		run.latest[i] = map[string]time.Time{}
	}
	run.began = time.Now()
	for now := time.Duration(0); now < spreadDuration; now += networkStep {
		time.Sleep(networkStep)
		run.publishAll(t, now)
		if run.floods {
			run.flood(t)
		}
		run.network.step(now)
		run.receiveAll(t)
	}
}

// TestUpdatesReachAllMembers: updates of all members reach all others in time, with 13% of packets lost, also while one member publishes a
// hundred times its share: one that limits itself, and one that does not, which the others limit.
func TestUpdatesReachAllMembers(t *testing.T) {
	for _, run := range []spreadRun{
		{count: 20},
		{count: 100},
		{count: 100, floods: true},
		{count: 100, floods: true, rogue: true},
		{count: 300},
	} {
		t.Run(fmt.Sprintf("%d,floods=%v,rogue=%v", run.count, run.floods, run.rogue), func(t *testing.T) {
			if run.count > 100 && testing.Short() {
				t.Skip("long")
			}
			bubble.Test(t, func(t *testing.T) {
				run.play(t)
				run.check(t)
			})
		})
	}
}

// checkAnswers checks that a member answers its queued questions with a bounded number of packets, and to members only.
func checkAnswers(t *testing.T, member *Members) {
	t.Helper()
	for len(member.questions) > 0 {
		if to, packets := member.answerQuestion(<-member.questions); len(packets) > maxDeltas+1 || to == "" && packets != nil {
			t.Fatalf("%d packets to %q", len(packets), to)
		}
	}
}

// checkDecodedWants checks that decoded wants decode to the same when they are encoded again.
func checkDecodedWants(t *testing.T, w *wants) {
	t.Helper()
	var names []uint32
	for name := range w.names {
		names = append(names, name)
	}
	if again, err := decodeWants(encodeWants(w.wanter, w.salt, names)); err != nil || again.wanter != w.wanter || len(again.names) != len(names) {
		t.Fatalf("%+v, then %+v, %v", w, again, err)
	}
}

// FuzzExchange: whatever is received is decoded or rejected, and what is decoded is what was encoded.
func FuzzExchange(f *testing.F) {
	s := newStates()
	for i := range 3 {
		s.merge(frame{name: "b", kind: uint8(i), start: 5, seq: uint64(i + 1), publishedAt: time.Second, payload: []byte("xyz")}, time.Second)
	}
	never := func(string) bool { return false }
	f.Add(s.ask(process{"a", 5}, 77, time.Second, time.Hour, never)[0])
	f.Add(encodeWants(process{"a", 5}, 77, []uint32{1, 1 << 23}))
	for _, stored := range s.latest {
		f.Add(s.deltas([]frame{stored}, time.Second)[0])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		member, err := New(Options{Name: "a", Listen: "127.0.0.1:0"})
		if err != nil {
			t.Fatal(err)
		}
		member.NotifyJoin(&memberlist.Node{Name: process{"b", 5}.nodeName(), Addr: net.IPv4(127, 0, 0, 1), Port: 1})
		member.NotifyMsg(b)
		member.MergeRemoteState(b, false)
		checkAnswers(t, member)
		if w, err := decodeWants(b); err == nil {
			checkDecodedWants(t, w)
		}
		if q, err := decodeAsk(b); err == nil && (len(q.seqs) > maxFrameBytes/entrySize || q.part >= q.parts) {
			t.Fatalf("%+v", q)
		}
		for _, stored := range member.states.latest {
			if stored.name != "b" || stored.start != 5 {
				t.Fatalf("%+v of no member is stored", stored)
			}
		}
	})
}
