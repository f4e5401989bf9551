package distribution

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/loadreport"
	"gradeusher.example/gradeusher/internal/system/distribution/rpc"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
)

// scriptedPeer receives polls and replies to each as its script says, on any number of connections.
type scriptedPeer struct {
	mu     sync.Mutex
	seen   map[uint32]int // how often each call was received
	script func(call uint32) string
}

// peerActions are the actions of a peer on a request. All but the first four end the connection.
var peerActions = []string{"answer", "twice in one packet", "informational, then answer", "another's answer", "silence", "reset at once",
	"end before the head", "end in the head", "end in the body", "answer, then end", "half-closed"}

func answerBytes(call uint32) []byte {
	body := softstate.Marshal(&distributionpb.FollowReply{Call: call, Newest: uint64(call), Current: true, Soft: &distributionpb.Cursor{Boot: 1}})
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// serve replies to the requests on a connection until an action ends it.
func (p *scriptedPeer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		var req distributionpb.FollowRequest
		if err != nil || proto.Unmarshal(body, &req) != nil {
			return
		}
		p.mu.Lock()
		p.seen[req.GetCall()]++
		act := p.script(req.GetCall())
		p.mu.Unlock()
		if !perform(conn, reader, act, answerBytes(req.GetCall()), answerBytes(req.GetCall()%(rpc.MaxCallIDs-1)+1)) {
			return
		}
	}
}

// perform performs one action with the reply to the request and the reply to another one, and reports whether the connection stays open.
func perform(conn net.Conn, reader io.Reader, action string, answer, other []byte) bool {
	tcp, _ := conn.(*net.TCPConn)
	switch action {
	case "answer":
		_, _ = conn.Write(answer)
		return true
	case "twice in one packet":
		_, _ = conn.Write(append(bytes.Clone(answer), answer...))
		return true
	case "informational, then answer":
		_, _ = conn.Write(append([]byte("HTTP/1.1 103 Early Hints\r\n\r\n"), answer...))
		return true
	case "another's answer":
		_, _ = conn.Write(other)
		return true
	case "silence":
		_, _ = io.Copy(io.Discard, reader) // until the caller gives up
	case "reset at once":
		_ = tcp.SetLinger(0)
	case "end in the head":
		_, _ = conn.Write(answer[:20])
	case "end in the body":
		_, _ = conn.Write(answer[:len(answer)-3])
	case "answer, then end":
		_, _ = conn.Write(answer)
	case "half-closed":
		_ = tcp.CloseWrite()
		_, _ = io.Copy(io.Discard, reader)
	}
	return false
}

// newScriptedSubscriber returns a subscriber of a scripted peer on loopback.
func newScriptedSubscriber(t *testing.T, script func(uint32) string) (subscriber *Subscriber, scripted *scriptedPeer, address string) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	scripted = &scriptedPeer{seen: map[uint32]int{}, script: script}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { scripted.serve(c) })
		}
	})
	transport := rpc.NewTransport()
	t.Cleanup(func() {
		_ = listener.Close()
		transport.CloseIdleConnections()
		wg.Wait()
	})
	return NewSubscriber(SubscriberOptions{Self: softstate.Member{Node: "p"}, Log: discardLogger(), Transport: transport}), scripted, listener.Addr().String()
}

// TestReplyReachesItsCallAlone: whatever a peer does, in any order, on new and on reused connections, a successful poll returns the reply
// to that very poll, and no poll is sent twice.
func TestReplyReachesItsCallAlone(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 5))
	counts := map[string]int{}
	subscriber, scripted, address := newScriptedSubscriber(t, func(uint32) string {
		act := peerActions[rng.IntN(len(peerActions))]
		counts[act]++
		return act
	})
	good := 0
	for range 400 {
		ctx, cancel := rpc.WithIdleTimeout(t.Context(), 20*time.Millisecond, 20*time.Millisecond)
		req := &distributionpb.FollowRequest{}
		reply, err := subscriber.sendPoll(ctx, address, req)
		cancel()
		if err == nil {
			good++
			if reply.GetNewest() != uint64(req.GetCall()) {
				t.Errorf("call %d got the reply to call %d", req.GetCall(), reply.GetNewest())
			}
		}
	}
	scripted.mu.Lock()
	defer scripted.mu.Unlock()
	for call, n := range scripted.seen {
		if n > 1 {
			t.Errorf("call %d was sent %d times", call, n)
		}
	}
	if good < 50 {
		t.Errorf("only %d of 400 polls succeeded", good)
	}
	for _, act := range peerActions {
		if counts[act] < 5 {
			t.Errorf("action %q was performed %d times", act, counts[act])
		}
	}
}

// TestMismatchedReplyControl: without call ids, the reply to another call is accepted.
func TestMismatchedReplyControl(t *testing.T) {
	subscriber, _, address := newScriptedSubscriber(t, func(uint32) string { return "another's answer" })
	for _, knob := range []bool{false, true} {
		subscriber.options.knobs.AcceptAnyReply = knob
		ctx, cancel := rpc.WithIdleTimeout(t.Context(), time.Second, time.Second)
		if _, err := subscriber.sendPoll(ctx, address, &distributionpb.FollowRequest{}); (err == nil) != knob {
			t.Errorf("control with AcceptAnyReply %v: error %v", knob, err)
		}
		cancel()
	}
}

// TestSurplusReplyShiftsNothing: after a peer replied twice, the next poll does not accept the surplus reply.
func TestSurplusReplyShiftsNothing(t *testing.T) {
	subscriber, _, address := newScriptedSubscriber(t, func(uint32) string { return "twice in one packet" })
	for range 200 {
		req := &distributionpb.FollowRequest{}
		ctx, cancel := rpc.WithIdleTimeout(t.Context(), time.Second, time.Second)
		if reply, err := subscriber.sendPoll(ctx, address, req); err == nil && reply.GetNewest() != uint64(req.GetCall()) {
			t.Fatalf("call %d got the reply to call %d", req.GetCall(), reply.GetNewest())
		}
		cancel()
	}
}

// TestRetriedCallsChangeNothing: a poll or a share that arrives twice leaves a node in the state after the first.
func TestRetriedCallsChangeNothing(t *testing.T) {
	server := newIdleServer()
	server.markComplete()
	member := softstate.Member{Node: "p", Incarnation: 5, Revision: 2, Ready: true}
	other := softstate.Member{Node: "q", Incarnation: 6}
	server.endCall(server.beginCall(other, &distributionpb.FollowRequest{Member: other.ToProto()}))
	v := loadreport.NewVector(true)
	poll := &distributionpb.FollowRequest{Member: member.ToProto(), Seq: 7, AcceptStale: true, Loads: v.ChangesSince(softstate.Cursor{}),
		Down: []*distributionpb.Verdict{{Node: "q", Incarnation: 6}}}
	share := &distributionpb.ShareRequest{From: &distributionpb.Keeper{Address: "o"}, Boot: 3, SentMs: server.clockMS(time.Now()), Loads: v.ChangesSince(softstate.Cursor{}),
		Entries: []*distributionpb.Entry{{Key: "hint/x", Fence: 1, Version: 4, Value: []byte("1")}}}
	for name, call := range map[string]func() error{
		"poll":  func() error { _, err := server.Follow(t.Context(), poll); return err },
		"share": func() error { _, err := server.Share(t.Context(), share); return err },
	} {
		if err := call(); err != nil {
			t.Fatal(name, err)
		}
		number, held, members := server.table.LastNumber, fmt.Sprint(tableContents(server.table)), fmt.Sprint(server.Members())
		if err := call(); err != nil {
			t.Fatal(name, err)
		}
		if server.table.LastNumber != number || fmt.Sprint(tableContents(server.table)) != held || fmt.Sprint(server.Members()) != members {
			t.Errorf("%s: the second call changed the table", name)
		}
	}
	if caller := server.sessions.byNode["p"]; caller.ackedSeq != 7 || caller.openCalls != 0 {
		t.Errorf("acknowledged record %d, %d open calls", caller.ackedSeq, caller.openCalls)
	}
}

// tableContents returns all entries of a table, including deletions.
func tableContents(table *softstate.Table) map[string]string {
	out := map[string]string{}
	for key, entry := range table.All() {
		out[key] = fmt.Sprint(entry.Fence, entry.Version, entry.Deleted, string(entry.Value))
	}
	return out
}
