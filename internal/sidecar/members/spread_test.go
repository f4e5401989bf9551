package members

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/hashicorp/memberlist"
)

// simulatedNetwork carries what members without sockets send, and loses some of it. Time goes by in steps.
type simulatedNetwork struct {
	all         map[string]*Members
	list        []*Members
	asks        []time.Duration // when each asks next
	loss        float64
	bytes, lost int
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
		m.turn(true)
	}
	return network
}

// carry brings packets to a peer, and what it answers back.
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

// step has all ask whose time it is, and gossip every gossipInterval.
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
			to, whole := rand.IntN(len(a.list)), rand.Float64() >= a.loss
			for _, b := range member.GetBroadcasts(3, 1380) {
				if a.bytes += len(b); whole && a.list[to] != member {
					a.list[to].NotifyMsg(b)
				}
			}
		}
	}
}

// News of all reaches all in time, with 13% of packets lost, also while one tells a hundred times its share: one that holds back
// itself, and one that does not, which the others cut.
func TestUpdatesReachAllMembers(t *testing.T) {
	for _, test := range []struct {
		n             int
		floods, rogue bool
	}{{20, false, false}, {100, false, false}, {100, true, false}, {100, true, true}, {300, false, false}} {
		t.Run(fmt.Sprintf("%d,floods=%v,rogue=%v", test.n, test.floods, test.rogue), func(t *testing.T) {
			if test.n > 100 && testing.Short() {
				t.Skip("long")
			}
			synctest.Test(t, func(t *testing.T) {
				const lasts = 5 * time.Second
				network := newSimulatedNetwork(t, test.n, 0.13)
				ages := hdrhistogram.New(1, 10_000, 3)
				latest := make([]map[string]time.Time, test.n)
				began, flooded := time.Now(), 0
				for now := time.Duration(0); now < lasts; now += networkStep {
					time.Sleep(networkStep)
					for i, m := range network.list {
						if every := time.Second / networkStep; (int(now/networkStep)+i*37)%int(every) < 2 {
							kind := uint8((int(now/networkStep) + i*37) % int(every))
							if err := m.Publish(kind, append(binary.BigEndian.AppendUint64(nil, uint64(time.Since(began))), make([]byte, 92+100*int(kind))...)); err != nil {
								t.Fatal(err)
							}
						}
					}
					for range 10 {
						if m := network.list[0]; test.floods {
							if test.rogue {
								delete(m.budgets, m.options.Name)
							}
							if err := m.Publish(7, append(binary.BigEndian.AppendUint64(nil, uint64(time.Since(began))), make([]byte, MaxPayloadBytes-8)...)); err != nil {
								t.Fatal(err)
							}
						}
					}
					network.step(now)
					for i, m := range network.list {
						if latest[i] == nil {
							latest[i] = map[string]time.Time{}
						}
						for _, w := range m.turn(false).updates {
							told := began.Add(time.Duration(binary.BigEndian.Uint64(w.Payload)))
							if w.Kind < 7 {
								_ = ages.RecordValue(time.Since(told).Milliseconds())
								latest[i][fmt.Sprint(w.Origin, w.Kind)] = told
							} else {
								flooded++
							}
							if age := time.Since(told); w.Age > age+time.Millisecond*20 || w.Age > DefaultTTL {
								t.Fatalf("%v old, said to be %v", age, w.Age)
							}
						}
					}
				}
				var sum Counts
				missing := 0
				for i, m := range network.list {
					c := m.counts
					sum.Updates, sum.Duplicates, sum.RateLimited, sum.Delayed = sum.Updates+c.Updates, sum.Duplicates+c.Duplicates, sum.RateLimited+c.RateLimited, sum.Delayed+c.Delayed
					fresh := 0
					for _, told := range latest[i] {
						if time.Since(told) <= DefaultTTL {
							fresh++
						}
					}
					missing += 2*(test.n-1) - fresh
				}
				t.Logf("p50 %d ms, p99 %d ms, most %d ms; told %d, repeats %d, cut %d, held %d; %d of %d hold nothing; %.1f kB/s each",
					ages.ValueAtQuantile(50), ages.ValueAtQuantile(99), ages.Max(), sum.Updates, sum.Duplicates, sum.RateLimited, sum.Delayed,
					missing, 2*test.n*(test.n-1), float64(network.bytes)/float64(test.n)/lasts.Seconds()/1000)
				if p99 := ages.ValueAtQuantile(99); p99 > 1500 || p99 == 0 || missing*1000 > 2*test.n*test.n {
					t.Errorf("p99 %d ms, %d hold nothing", p99, missing)
				}
				if test.floods && test.rogue != (sum.RateLimited > 0) || test.floods && !test.rogue && sum.Delayed == 0 || !test.floods && sum.RateLimited+sum.Delayed > 0 {
					t.Errorf("cut %d, held %d", sum.RateLimited, sum.Delayed)
				}
				if most := (lasts.Seconds() + burstSeconds) * receiveLenience * originShare(test.n) / MaxPayloadBytes * float64(test.n-1); float64(flooded) > most {
					t.Errorf("%d of the flood taken in, over %.0f", flooded, most)
				}
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

// Whatever a stranger sends is read or refused, and what is read is what was written.
func FuzzExchange(f *testing.F) {
	s := newStates()
	for i := range 3 {
		s.merge(frame{name: "b", kind: uint8(i), start: 5, seq: uint64(i + 1), madeAt: time.Second, payload: []byte("xyz")}, time.Second)
	}
	never := func(string) bool { return false }
	f.Add(s.ask(process{"a", 5}, 77, time.Second, time.Hour, never)[0])
	f.Add(encodeWants(process{"a", 5}, 77, []uint32{1, 1 << 23}))
	for _, held := range s.latest {
		f.Add(s.deltas([]frame{held}, time.Second)[0])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		member, err := New(Options{Name: "a", Listen: "127.0.0.1:0"})
		if err != nil {
			t.Fatal(err)
		}
		member.NotifyJoin(&memberlist.Node{Name: process{"b", 5}.node(), Addr: net.IPv4(127, 0, 0, 1), Port: 1})
		member.NotifyMsg(b)
		member.MergeRemoteState(b, false)
		checkAnswers(t, member)
		if w, err := decodeWants(b); err == nil {
			checkDecodedWants(t, w)
		}
		if q, err := decodeAsk(b); err == nil && (len(q.held) > maxFrameBytes/entrySize || q.part >= q.parts) {
			t.Fatalf("%+v", q)
		}
		for _, held := range member.states.latest {
			if held.name != "b" || held.start != 5 {
				t.Fatalf("%+v of no member is held", held)
			}
		}
	})
}
