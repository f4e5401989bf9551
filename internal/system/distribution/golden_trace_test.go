package distribution

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/distribution/catchup"
	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/loadreport"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
	"gradeusher.example/gradeusher/internal/testsupport/golden"
)

// goldenFile has one line per scenario: its name, seed, number of steps and digest.
const goldenFile = "testdata/golden_trace.txt"

// transferred adds an outgoing message to the digest, and returns the message as it is received.
func transferred[M proto.Message](tr *golden.Digest, tag byte, m, into M) M {
	b := softstate.Marshal(m)
	tr.Step(tag)
	tr.Bytes(b)
	if err := proto.Unmarshal(b, into); err != nil {
		panic(err)
	}
	return into
}

// exchange is a set of servers and subscribers whose calls are made by the test itself, one after another and in an order drawn from the
// seed. With the goroutines of Run, the order of events at one moment of the bubble's clock would depend on the scheduler.
type exchange struct {
	tr          *golden.Digest
	rng         *rand.Rand
	chain       *fakeChain
	sources     []*fakeSource
	servers     []*Server
	bootIDs     []uint64 // of the servers, as set by the test
	progress    map[[2]int]*syncProgress
	subscribers []*Subscriber
	loads       []map[string]pick.Load
	replies     []pendingReply
	lists       uint64
}

// pendingReply is a reply in transit.
type pendingReply struct {
	subscriber int
	sentAt     time.Time
	req        *distributionpb.FollowRequest
	reply      *distributionpb.FollowReply
}

var (
	exchangeNodes   = []string{"k1:1", "k2:1", "k3:1"}
	exchangeServers = []string{"s1", "s2", "s3", "s4", "s5", "s6"}
)

func newExchange(tr *golden.Digest, seed uint64) *exchange {
	created := &exchange{tr: tr, rng: rand.New(rand.NewPCG(seed, 13)), chain: newChain(), progress: map[[2]int]*syncProgress{}}
	for _, k := range exchangeNodes {
		s := &fakeSource{fakeChain: created.chain, addresses: exchangeNodes}
		created.sources = append(created.sources, s)
		server := NewServer(ServerOptions{Source: s, Self: k, Zone: "z" + k[:2], Region: "r", ListLag: 100 * time.Millisecond, Log: discardLogger()})
		created.assignIndexes(server.loads.local)
		created.assignIndexes(server.loads.total)
		created.servers, created.bootIDs = append(created.servers, server), append(created.bootIDs, 0)
		created.redrawBootID(len(created.servers) - 1)
	}
	for i := range 5 {
		created.subscribers, created.loads = append(created.subscribers, nil), append(created.loads, nil)
		created.startSubscriber(i)
	}
	return created
}

// startSubscriber replaces a subscriber by a restarted process.
func (x *exchange) startSubscriber(i int) {
	node := fmt.Sprint("p", i)
	subscriber := NewSubscriber(SubscriberOptions{Seeds: exchangeNodes, ControlPlanePort: 1, ProxyPort: 2, Log: discardLogger(),
		Self: softstate.Member{Node: node, Incarnation: x.rng.Uint64() | 1, Zone: "zk1", Region: "r", IP: node + ":2"}})
	x.assignIndexes(subscriber.loads.own)
	x.subscribers[i], x.loads[i] = subscriber, map[string]pick.Load{}
}

// assignIndexes draws a vector's boot id from the seed and makes the vector assign the servers' indexes in order. Servers that are added
// together would otherwise get their indexes in the random order of a map.
func (x *exchange) assignIndexes(v *loadreport.Vector) {
	v.BootID = x.rng.Uint64() | 1
	all := map[string]pick.Load{}
	for _, id := range exchangeServers {
		all[id] = pick.Load{Requests: 1}
		v.Publish(time.Now(), all)
	}
}

// redrawBootID replaces a boot id that a server has drawn itself by one drawn from the seed.
func (x *exchange) redrawBootID(i int) {
	if server := x.servers[i]; server.bootID != x.bootIDs[i] {
		server.bootID = x.rng.Uint64() | 1
		x.bootIDs[i] = server.bootID
	}
}

func (x *exchange) run(steps int) {
	for range steps {
		time.Sleep(time.Duration(x.rng.IntN(30)) * time.Millisecond)
		switch x.rng.IntN(16) {
		case 0, 1, 2, 3, 4:
			x.poll(x.rng.IntN(len(x.subscribers)), x.rng.IntN(len(x.servers)))
		case 5, 6, 7, 8:
			x.deliver()
		case 9, 10:
			x.synchronise(x.rng.IntN(len(x.servers)), x.rng.IntN(len(x.servers)))
		case 11, 12:
			i := x.rng.IntN(len(x.servers))
			x.servers[i].tick(time.Now())
			x.redrawBootID(i)
		case 13:
			x.readList()
		case 14:
			x.changeLoad(x.rng.IntN(len(x.subscribers)))
		case 15:
			x.rareEvent()
		}
	}
}

// poll sends a poll to a server; the reply arrives later.
func (x *exchange) poll(which, to int) {
	subscriber := x.subscribers[which]
	asked := time.Now()
	req := subscriber.buildRequest(x.loads[which], x.rng.IntN(3) > 0)
	slices.SortFunc(req.Down, func(a, b *distributionpb.Verdict) int { return strings.Compare(a.GetNode(), b.GetNode()) })
	req.Call = subscriber.callIDs.Next()
	got := transferred(x.tr, 'Q', req, &distributionpb.FollowRequest{})
	time.Sleep(time.Duration(x.rng.IntN(40)) * time.Millisecond)
	reply, err := x.servers[to].Follow(context.Background(), got)
	if err != nil {
		x.tr.Step('E')
		return
	}
	x.replies = append(x.replies, pendingReply{which, asked, req, transferred(x.tr, 'A', reply, &distributionpb.FollowReply{})})
}

// deliver delivers or loses one of the replies in transit.
func (x *exchange) deliver() {
	if len(x.replies) == 0 {
		return
	}
	at := x.rng.IntN(len(x.replies))
	r := x.replies[at]
	x.replies = slices.Delete(x.replies, at, at+1)
	subscriber := x.subscribers[r.subscriber]
	if x.rng.IntN(10) == 0 || r.reply.GetSoft() == nil || r.req.GetMember().GetIncarnation() != subscriber.Incarnation() {
		return
	}
	got := subscriber.handleReply(r.sentAt, time.Now(), r.req, r.reply)
	x.tr.Step('T')
	x.tr.Ints(int64(r.subscriber))
	x.tr.Bools(got.current, got.servesState, got.stateAdvanced, got.stillBehind)
	x.traceUpdate(subscriber)
}

// traceUpdate adds a subscriber's update to the digest.
func (x *exchange) traceUpdate(subscriber *Subscriber) {
	update := subscriber.Current()
	x.tr.Ints(int64(update.State.Seq), int64(update.ListAge), int64(update.ListCoversSeq), int64(update.ContactAge), int64(update.DownCount))
	x.tr.Bools(update.HasList, update.Fresh, update.MembershipIncomplete, update.Stale, update.State.Evacuated["za"], update.State.Evacuated["zb"])
	x.tr.Ints(int64(update.State.ZoneChangeSeq("za")), int64(update.State.ZoneChangeSeq("zb")), int64(len(update.Members)), int64(len(update.Servers)))
	for _, member := range update.Members {
		x.tr.Bytes(member.Encode())
	}
	for _, s := range update.Servers {
		x.tr.Text(s.ID)
		x.tr.Bytes(softstate.EncodeServer(s))
		x.tr.Ints(int64(s.WarmUpMax), int64(s.WarmUpMin), int64(s.Remaining))
	}
	for _, id := range slices.Sorted(maps.Keys(subscriber.loads.others)) {
		x.tr.Text(id)
		x.tr.Ints(int64(subscriber.loads.others[id].Requests), subscriber.loads.others[id].Prefill, subscriber.loads.others[id].Tokens)
	}
}

// synchronise makes one server synchronise with another.
func (x *exchange) synchronise(from, to int) {
	if from == to {
		return
	}
	way := [2]int{from, to}
	if x.progress[way] == nil {
		x.progress[way] = &syncProgress{}
	}
	for range 2 { // again if the first call returned only the clock
		req, number := x.servers[from].buildShareRequest(x.progress[way])
		req.Call = x.servers[from].callIDs.Next()
		got := transferred(x.tr, 'S', req, &distributionpb.ShareRequest{})
		time.Sleep(time.Duration(x.rng.IntN(20)) * time.Millisecond)
		reply, err := x.servers[to].Share(context.Background(), got)
		if err != nil {
			x.tr.Step('E')
			return
		}
		x.redrawBootID(to)
		reply.Boot = x.servers[to].bootID
		answer := transferred(x.tr, 'R', reply, &distributionpb.ShareReply{})
		if x.progress[way].handleReply(time.Now(), req, number, answer) {
			return
		}
	}
}

// readList makes a server read the platform's list: some servers, some of them cold, draining or withdrawn.
func (x *exchange) readList() {
	x.lists++
	var servers []pick.Server
	for i, id := range exchangeServers {
		s := pick.Server{ID: id, Service: "a", Address: id + ":1", Zone: []string{"za", "zb"}[i%2], Region: "r", Slots: 8}
		switch x.rng.IntN(8) {
		case 0:
			continue
		case 1:
			s.WarmUpMax = time.Duration(x.rng.IntN(3000)) * time.Millisecond
		case 2:
			s.Draining = true
		case 3:
			s.Remaining = time.Duration(x.rng.IntN(5000)) * time.Millisecond
		}
		servers = append(servers, s)
	}
	spent := time.Duration(x.rng.IntN(300)) * time.Millisecond
	err := x.servers[x.rng.IntN(len(x.servers))].PutList(1+x.lists/40, x.lists, servers, boundsOf(softstate.Age{Min: spent / 2, Max: spent}))
	x.tr.Step('P')
	x.tr.Bools(err != nil)
}

// changeLoad changes a subscriber's outstanding load.
func (x *exchange) changeLoad(i int) {
	x.loads[i] = maps.Clone(x.loads[i])
	id := exchangeServers[x.rng.IntN(len(exchangeServers))]
	if x.rng.IntN(4) == 0 {
		delete(x.loads[i], id)
		return
	}
	x.loads[i][id] = pick.Load{Requests: x.rng.IntN(20), Prefill: int64(x.rng.IntN(9000)), Tokens: int64(x.rng.IntN(30_000))}
}

// rareEvent triggers one of the less frequent events.
func (x *exchange) rareEvent() {
	subscriber := x.subscribers[x.rng.IntN(len(x.subscribers))]
	zone := []string{"za", "zb"}[x.rng.IntN(2)]
	switch x.rng.IntN(11) {
	case 0, 1:
		x.chain.add(noOpRecord())
	case 2:
		x.chain.add(controlstate.Record{Op: controlstate.OpEvacuate, Zone: zone})
	case 3:
		x.chain.add(controlstate.Record{Op: controlstate.OpReadmit, Zone: zone})
	case 4:
		x.chain.compactedTo = x.chain.seq()
	case 5:
		x.sources[x.rng.IntN(len(x.sources))].setStale(x.rng.IntN(3) == 0)
	case 6:
		subscriber.SetReady(x.rng.IntN(2) == 0)
	case 7:
		subscriber.Report(fmt.Sprint("p", x.rng.IntN(5)), x.subscribers[x.rng.IntN(5)].Incarnation())
	case 8:
		x.writeHint()
	case 9:
		x.startSubscriber(x.rng.IntN(len(x.subscribers)))
	case 10:
		time.Sleep(time.Duration(x.rng.IntN(4000)) * time.Millisecond)
	}
}

// writeHint writes or deletes a hint at a server.
func (x *exchange) writeHint() {
	server := x.servers[x.rng.IntN(len(x.servers))]
	key, version := softstate.HintPrefix+fmt.Sprint(x.rng.IntN(3)), uint64(x.rng.IntN(50))
	var err error
	if x.rng.IntN(3) == 0 {
		err = server.Remove(key, 1, version)
	} else {
		err = server.Put(key, 1, version, []byte{byte(x.rng.IntN(9))})
	}
	x.tr.Step('H')
	x.tr.Bools(err != nil)
}

// traceTables adds the servers' final tables to the digest.
func (x *exchange) traceTables() {
	for _, server := range x.servers {
		x.tr.Step('F')
		for _, e := range server.Table() {
			x.tr.Text(e.Key)
			x.tr.Ints(int64(e.Fence), int64(e.Version))
			x.tr.Bytes(e.Value)
		}
	}
}

// tracePlans adds the servers' plans and the subscribers' steps, for numbers drawn from the seed, to the digest.
func tracePlans(tr *golden.Digest, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 17))
	tags := map[catchup.Method]byte{catchup.None: 'N', catchup.Records: 'R', catchup.CachedSnapshot: 'K', catchup.NewSnapshot: 'S'}
	n := func() uint64 { return rng.Uint64N(12) }
	for range 20_000 {
		s := catchup.Availability{Committed: n(), Known: rng.IntN(2) == 0, Records: rng.IntN(6), Bytes: rng.IntN(2 * catchup.MaxReplyBytes), CachedSnapshot: n(), CachedSnapshotUsable: rng.IntN(2) == 0}
		tr.Step(tags[catchup.PlanReply(n(), s, 4)])
		p := catchup.Position{Seq: n(), Resync: rng.IntN(3) == 0}
		o := catchup.Offer{Current: rng.IntN(2) == 0, Newest: n(), Snapshot: n(), First: n(), Age: time.Duration(rng.IntN(2 * int(catchup.FreshnessTTL)))}
		o.Last = o.First + n()
		step := p.Plan(o)
		tr.Bools(step.Snapshot, o.Expired(), p.ProvesFreshness(o))
		tr.Ints(int64(step.First), int64(p.Ask()))
	}
}

func traceExchange(tr *golden.Digest, seed uint64) {
	x := newExchange(tr, seed)
	x.run(5000)
	x.traceTables()
}

// TestGoldenTrace compares every message, and each subscriber's update after it, with the recorded digests. For a change that is meant to
// change them, write the file again with GRADEUSHER_WRITE_GOLDEN=1 and say so in the commit.
func TestGoldenTrace(t *testing.T) {
	var scenarios []golden.Scenario
	add := func(name string, seed uint64, play func(*golden.Digest, uint64)) {
		scenarios = append(scenarios, golden.Scenario{Name: name, Seed: seed, Play: func(t *testing.T, digest *golden.Digest, seed uint64) {
			bubble.Test(t, func(*testing.T) { play(digest, seed) })
		}})
	}
	for seed := range uint64(4) {
		add("exchange", seed+1, traceExchange)
	}
	add("plans", 1, tracePlans)
	golden.CompareDigests(t, goldenFile, scenarios)
}
