package distribution

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/rpc"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// TestPendingRepliesAreBounded: callers that do not read their large replies occupy a node's memory only up to its bound, and other
// callers are asked to call again; small replies are sent regardless.
func TestPendingRepliesAreBounded(t *testing.T) {
	chain := newChain()
	server := NewServer(ServerOptions{Source: &fakeSource{fakeChain: chain, addresses: []string{"k"}}, Self: "k", Log: discardLogger(), Limits: ServerLimits{MaxPendingReplyBytes: 1500 << 10}})
	chain.add(largeConfigRecord(t, 1<<20, rand.NewChaCha8([32]byte{5})))
	ask := func(node string, held uint64) (*distributionpb.FollowReply, func()) {
		ctx, release := withReservation(t.Context())
		reply, err := server.Follow(ctx, &distributionpb.FollowRequest{Member: softstate.Member{Node: node, Incarnation: 1}.ToProto(), Seq: held})
		if err != nil {
			t.Fatal(err)
		}
		return reply, release
	}
	_, one := ask("a", 0)
	_, two := ask("b", 0)
	third, three := ask("c", 0)
	if len(third.GetSnapshot()) > 0 || third.GetNewest() != 1 || !third.GetCurrent() {
		t.Errorf("reply beyond the bound: %d bytes, newest record %d", len(third.GetSnapshot()), third.GetNewest())
	}
	three()
	if level, four := ask("d", 1); level.GetSoft() == nil {
		t.Error("a small reply was held back")
	} else {
		four()
	}
	one()
	again, five := ask("c", 0)
	if len(again.GetSnapshot()) == 0 {
		t.Error("no snapshot in the reply though the budget has capacity again")
	}
	five()
	two()
	if server.replyBudget.reservedBytes != 0 {
		t.Errorf("%d bytes were not released", server.replyBudget.reservedBytes)
	}
}

// TestCallerThatDoesNotReadBlocksNobody: a call of a proxy that reads no byte of a large reply ends after a timeout, and the memory that
// its reply occupied in the node is released; other proxies are served meanwhile.
func TestCallerThatDoesNotReadBlocksNobody(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		chain := newChain()
		server := NewServer(ServerOptions{Source: &fakeSource{fakeChain: chain, addresses: []string{"k"}}, Self: "k", Log: discardLogger()})
		chain.add(largeConfigRecord(t, 4<<20, rand.NewChaCha8([32]byte{6})))
		ends := make(chan net.Conn)
		srv := &http.Server{Handler: server.Handler()}
		go func() { _ = srv.Serve(pipeListener{ends}) }()
		defer func() { _ = srv.Close() }()
		call := func(node string) net.Conn {
			near, far := net.Pipe()
			ends <- far
			body := softstate.Marshal(&distributionpb.FollowRequest{Member: softstate.Member{Node: node, Incarnation: 1}.ToProto()})
			_, err := fmt.Fprintf(near, "POST /twirp/gradeusher.distribution.Distribution/Follow HTTP/1.1\r\nHost: k\r\nContent-Type: application/protobuf\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			if err != nil {
				t.Fatal(err)
			}
			return near
		}
		unread := call("unread")
		defer func() { _ = unread.Close() }()
		time.Sleep(time.Second)
		server.replyBudget.mu.Lock()
		held := server.replyBudget.reservedBytes
		server.replyBudget.mu.Unlock()
		if held < 2<<20 {
			t.Errorf("the run had no effect: %d bytes are reserved", held)
		}
		other := call("other")
		defer func() { _ = other.Close() }()
		head := make([]byte, 15)
		if _, err := other.Read(head); err != nil || !strings.HasPrefix(string(head), "HTTP/1.1 200") {
			t.Errorf("reply to another proxy: %q, error %v", head, err)
		}
		_ = other.Close()
		time.Sleep(rpc.ReplyWriteTimeout)
		server.replyBudget.mu.Lock()
		defer server.replyBudget.mu.Unlock()
		if server.replyBudget.reservedBytes != 0 {
			t.Errorf("%d bytes are reserved after %v", server.replyBudget.reservedBytes, rpc.ReplyWriteTimeout)
		}
	})
}

// pipes is a listener for connections that are passed to it.
type pipeListener struct{ ends chan net.Conn }

func (p pipeListener) Accept() (net.Conn, error) {
	c, ok := <-p.ends
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (p pipeListener) Close() error { close(p.ends); return nil }

func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }
