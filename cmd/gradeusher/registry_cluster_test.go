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
	"sync"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/lab/link"
	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/list"
	"gradeusher.example/gradeusher/internal/sidecar/registry"
)

// testTimeout bounds what a test waits for; it is no measure.
const testTimeout = 30 * time.Second

// registryNode is where one keeper's processes run, one after the other.
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
	t.Cleanup(func() { p.Close() })
	return p.Addr.String()
}

// newRegistryCluster starts n keepers. more is added to each configuration.
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
	var err error
	if k.client, err = client.New(k.addresses()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.client.Close)
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
		_ = run.Process.Kill() // mostly it has ended
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

// leader waits for one.
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

// eventually asks again until something is so.
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

// observedList is what a follower was told.
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

func newHTTPServer(t *testing.T, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

func discardLog() *slog.Logger { return slog.New(slog.DiscardHandler) }
