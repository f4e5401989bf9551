package failuredetector

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testNode is an agent that uses the same loopback port for both paths.
type testNode struct {
	agent   *Agent
	member  Member
	reports chan DownReport
	stop    func()
}

func startNode(t *testing.T, name string, incarnation uint64) *testNode {
	t.Helper()
	node := &testNode{reports: make(chan DownReport, 100)}
	// The port assigned for TCP may be in use for UDP: then try another one.
	var (
		listener net.Listener
		conn     *net.UDPConn
	)
	for conn == nil {
		var err error
		if listener, err = new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		port := listener.Addr().(*net.TCPAddr).Port
		if conn, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port}); err != nil {
			_ = listener.Close()
		}
	}
	node.agent = NewAgent(AgentOptions{
		Options: Options{Self: name, Incarnation: incarnation, HeartbeatInterval: 20 * time.Millisecond, ProbeTimeout: 5 * time.Second, PauseThreshold: time.Minute},
		Conn:    conn,
		OnDownReport: func(v DownReport) {
			select {
			case node.reports <- v:
			default:
			}
		},
		Log: &log.Logger{Handler: discard.New(), Level: log.InfoLevel},
	})
	mux := http.NewServeMux()
	mux.Handle(AlivePath, node.agent.Handler())
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: mux}}
	server.Start()
	node.member = Member{Node: name, Incarnation: incarnation, Address: "127.0.0.1:" + strconv.Itoa(conn.LocalAddr().(*net.UDPAddr).Port)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		node.agent.Run(ctx)
	}()
	node.stop = func() {
		cancel()
		<-done
		server.Close()
	}
	t.Cleanup(node.stop)
	return node
}

// connected reports whether the agent's detector is connected.
func (n *testNode) connected() bool {
	n.agent.mu.Lock()
	defer n.agent.mu.Unlock()
	return n.agent.detector.Connected(n.agent.now())
}

func TestAgents(t *testing.T) {
	nodes := map[string]*testNode{}
	var members []Member
	for n, name := range []string{"a", "b", "c", "d"} {
		nodes[name] = startNode(t, name, uint64(n+1))
		members = append(members, nodes[name].member)
	}
	for _, n := range nodes {
		n.agent.SetMembers(members)
	}
	deadline := time.After(20 * time.Second)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for _, n := range nodes {
		for !n.connected() {
			select {
			case <-tick.C:
			case <-deadline:
				t.Fatalf("%s did not become connected", n.member.Node)
			}
		}
	}
	nodes["d"].stop()
	for _, name := range []string{"a", "b", "c"} {
		for {
			var v DownReport
			select {
			case v = <-nodes[name].reports:
			case <-deadline:
				t.Fatalf("%s did not report d as down", name)
			}
			if v == (DownReport{Node: "d", Incarnation: 4, Down: true}) {
				break
			}
		}
	}
}

func TestAliveAnswersOnlyForItself(t *testing.T) {
	n := startNode(t, "a", 1<<63+1)
	n.agent.mu.Lock()
	n.agent.addresses["b"] = mustAddr(t, n.member.Address)
	addr := n.agent.addresses["b"]
	n.agent.mu.Unlock()
	ctx := context.Background()
	if inc, err := n.agent.requestIncarnation(ctx, "a", addr); err != nil || inc != 1<<63+1 {
		t.Errorf("requestIncarnation for a = %d, %v", inc, err)
	}
	if _, err := n.agent.requestIncarnation(ctx, "b", addr); err == nil {
		t.Error("requestIncarnation for b succeeded at the address of a")
	}
}

func mustAddr(t *testing.T, s string) netip.AddrPort {
	t.Helper()
	addr, err := netip.ParseAddrPort(s)
	if err != nil {
		t.Fatal(err)
	}
	return addr
}
