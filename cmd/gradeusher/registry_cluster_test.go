package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/lab/link"
	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/list"
	"gradeusher.example/gradeusher/internal/sidecar/registry"
	"gradeusher.example/gradeusher/internal/sidecar/replica"
)

// testTimeout bounds what a test waits for; it is no measure.
const testTimeout = 30 * time.Second

// registryNode has the files and addresses at which one node's processes run, one after the other.
type registryNode struct {
	name, config, http, raft string
	run                      *command
}

// registryCluster is a cluster of processes.
type registryCluster struct {
	t      testing.TB
	nodes  []*registryNode
	client *client.Client
}

func reserveAddress(t testing.TB) string {
	t.Helper()
	p, err := link.Reserve(netip.MustParseAddr("127.0.0.1"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.Close() }) // it is free again then
	return p.Addr.String()
}

// newRegistryCluster starts n nodes. more is added to each configuration.
func newRegistryCluster(t testing.TB, n int, more string) *registryCluster {
	t.Helper()
	k := &registryCluster{t: t}
	peers := ""
	for i := range n {
		p := k.addNode(fmt.Sprintf("k%d", i+1))
		peers += fmt.Sprintf("[[peer]]\nname = %q\nraft = %q\nhttp = %q\n", p.name, p.raft, p.http)
	}
	for _, p := range k.nodes {
		k.configure(p, more+peers)
		k.start(p)
	}
	k.renewClient()
	return k
}

func (k *registryCluster) addNode(name string) *registryNode {
	p := &registryNode{name: name, http: reserveAddress(k.t), raft: reserveAddress(k.t), config: filepath.Join(k.t.TempDir(), name+".toml")}
	k.nodes = append(k.nodes, p)
	return p
}

func (k *registryCluster) configure(p *registryNode, more string) {
	text := fmt.Sprintf("name = %q\nfolder = %q\nhttp = %q\nraft = %q\n%s", p.name, filepath.Join(filepath.Dir(p.config), "data"), p.http, p.raft, more)
	if err := os.WriteFile(p.config, []byte(text), 0o600); err != nil {
		k.t.Fatal(err)
	}
}

func (k *registryCluster) start(p *registryNode) {
	k.t.Helper()
	p.run = newCommand(k.t, "keeper", p.config)
	run := p.run
	if err := run.Start(); err != nil {
		k.t.Fatal(err)
	}
	k.t.Cleanup(func() {
		_ = run.Process.Kill() // it may have ended
		_ = run.Wait()
		if k.t.Failed() {
			k.t.Logf("%s:\n%s", p.name, &run.err)
		}
	})
}

func (k *registryCluster) addresses() (all []string) {
	for _, p := range k.nodes {
		all = append(all, p.http)
	}
	return all
}

func (k *registryCluster) kill(p *registryNode) {
	k.t.Helper()
	if err := p.run.Process.Kill(); err != nil {
		k.t.Fatal(err)
	}
	_ = p.run.Wait() // a signal ended it
}

// killAll kills the nodes that run.
func (k *registryCluster) killAll() {
	k.t.Helper()
	for _, node := range k.nodes {
		if node.run.ProcessState == nil {
			k.kill(node)
		}
	}
}

// startStopped starts the nodes that do not run.
func (k *registryCluster) startStopped() {
	k.t.Helper()
	for _, node := range k.nodes {
		if node.run.ProcessState != nil {
			k.start(node)
		}
	}
}

// join starts one more node, which joins by way of another.
func (k *registryCluster) join(name string, by *registryNode) *registryNode {
	k.t.Helper()
	node := k.addNode(name)
	k.configure(node, fmt.Sprintf("join = true\n[[peer]]\nname = %q\nraft = %q\nhttp = %q\n", by.name, by.raft, by.http))
	k.start(node)
	return node
}

// awaitVoter waits until a node says that the one of this name is a voter.
func (k *registryCluster) awaitVoter(name string, at *registryNode) {
	k.t.Helper()
	eventually(k.t, name+"'s vote", func() bool {
		all, _ := client.Status[registry.Status](k.callContext(), k.client)
		return slices.ContainsFunc(all[at.http].Peers, func(p replica.Peer) bool { return p.Name == name && p.Voter })
	})
}

// renewClient has the client call the nodes that there are now.
func (k *registryCluster) renewClient() {
	k.t.Helper()
	var err error
	if k.client, err = client.New(k.addresses()); err != nil {
		k.t.Fatal(err)
	}
	k.t.Cleanup(k.client.Close)
}

// countComplete counts the nodes that know this many servers and nodes.
func (k *registryCluster) countComplete(servers, nodes int) (count int) {
	all, _ := client.Status[registry.Status](k.callContext(), k.client)
	for _, status := range all {
		if status.Servers == servers && len(status.Nodes) == nodes && len(status.Peers) == nodes {
			count++
		}
	}
	return count
}

// runCommand runs the program on the cluster and returns its output.
func (k *registryCluster) runCommand(wantCode int, args ...string) string {
	k.t.Helper()
	c := newCommand(k.t, args...)
	c.Env = append(c.Env, "GRADEUSHER_KEEPERS="+strings.Join(k.addresses(), ","))
	if code := c.waitForExit(k.t); code != wantCode {
		k.t.Fatalf("%v: exit %d, want %d: %s%s", args, code, wantCode, &c.out, &c.err)
	}
	return c.out.String() + c.err.String()
}

// runUntilCleanup runs a subscriber until the test ends.
func runUntilCleanup(t *testing.T, run func(context.Context)) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
}

// leader waits for a leader and returns its node.
func (k *registryCluster) leader() *registryNode {
	k.t.Helper()
	var found *registryNode
	eventually(k.t, "a leader", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		all, _ := client.Status[registry.Status](ctx, k.client)
		for _, p := range k.nodes {
			if s, ok := all[p.http]; ok && s.Role == "leader" && s.AgeMS == 0 {
				found = p
				return true
			}
		}
		return false
	})
	return found
}

// eventually polls until something is so.
func eventually(t testing.TB, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !is(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no %s within %v", what, testTimeout)
		}
	}
}

func (k *registryCluster) callContext() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	k.t.Cleanup(cancel)
	return ctx
}

func (k *registryCluster) register(uid, endpoint string) int64 {
	k.t.Helper()
	d, err := k.client.Register(k.callContext(), []list.Registration{{Target: list.Target{UID: uid, Endpoint: endpoint, State: list.Serving}}}, nil)
	if err != nil {
		k.t.Fatal(err)
	}
	return d.Revision
}

// observedList is the list as a subscriber received it.
type observedList struct {
	mu      sync.Mutex
	servers map[string]list.Target
}

func (s *observedList) handleUpdate(u client.ListUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.Complete {
		s.servers = map[string]list.Target{}
	}
	for _, t := range u.Targets {
		if s.servers[t.UID] = t; t.State == list.Deleted {
			delete(s.servers, t.UID)
		}
	}
}

func (s *observedList) has(uid string, state list.State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers[uid].State == state
}

// newHTTPServer serves until the test ends, at the address that it returns.
func newHTTPServer(t testing.TB, handler http.Handler) string {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(listener) // until it is closed
	}()
	t.Cleanup(func() {
		_ = server.Close() // the test has ended
		<-served
	})
	return listener.Addr().String()
}

func discardLog() *slog.Logger { return slog.New(slog.DiscardHandler) }
