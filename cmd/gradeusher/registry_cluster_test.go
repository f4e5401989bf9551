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

// patience bounds what a test waits for; it is no measure.
const patience = 30 * time.Second

// keeperPlace is where one keeper's processes run, one after the other.
type keeperPlace struct {
	name, config, http, raft string
	run                      *command
}

// keepers is a cluster of processes.
type keepers struct {
	t      testing.TB
	places []*keeperPlace
	client *client.Client
}

func place(t testing.TB) string {
	t.Helper()
	p, err := link.Reserve(netip.MustParseAddr("127.0.0.1"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Close() })
	return p.Addr.String()
}

// newKeepers starts n keepers. more is added to each configuration.
func newKeepers(t testing.TB, n int, more string) *keepers {
	t.Helper()
	k := &keepers{t: t}
	peers := ""
	for i := range n {
		p := k.place(fmt.Sprintf("k%d", i+1))
		peers += fmt.Sprintf("[[peer]]\nname = %q\nraft = %q\nhttp = %q\n", p.name, p.raft, p.http)
	}
	for _, p := range k.places {
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

func (k *keepers) place(name string) *keeperPlace {
	p := &keeperPlace{name: name, http: place(k.t), raft: place(k.t), config: filepath.Join(k.t.TempDir(), name+".toml")}
	k.places = append(k.places, p)
	return p
}

func (k *keepers) configure(p *keeperPlace, more string) {
	text := fmt.Sprintf("name = %q\nfolder = %q\nhttp = %q\nraft = %q\n%s", p.name, filepath.Join(filepath.Dir(p.config), "data"), p.http, p.raft, more)
	if err := os.WriteFile(p.config, []byte(text), 0o600); err != nil {
		k.t.Fatal(err)
	}
}

func (k *keepers) start(p *keeperPlace) {
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

func (k *keepers) addresses() (all []string) {
	for _, p := range k.places {
		all = append(all, p.http)
	}
	return all
}

func (k *keepers) kill(p *keeperPlace) {
	k.t.Helper()
	if err := p.run.Process.Kill(); err != nil {
		k.t.Fatal(err)
	}
	_ = p.run.Wait() // a signal ended it
}

// leader waits for one.
func (k *keepers) leader() *keeperPlace {
	k.t.Helper()
	var found *keeperPlace
	eventually(k.t, "a leader", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		all, _ := client.Status[registry.Status](ctx, k.client)
		for _, p := range k.places {
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
	for end := time.Now().Add(patience); !is(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no %s within %v", what, patience)
		}
	}
}

func (k *keepers) call() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	k.t.Cleanup(cancel)
	return ctx
}

func (k *keepers) register(uid, endpoint string) int64 {
	k.t.Helper()
	d, err := k.client.Register(k.call(), []list.Registration{{Target: list.Target{UID: uid, Endpoint: endpoint, State: list.Serving}}}, nil)
	if err != nil {
		k.t.Fatal(err)
	}
	return d.Revision
}

// seen is what a follower was told.
type seen struct {
	mu   sync.Mutex
	held map[string]list.Target
}

func (s *seen) told(u client.ListUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.Complete {
		s.held = map[string]list.Target{}
	}
	for _, t := range u.Targets {
		if s.held[t.UID] = t; t.State == list.Deleted {
			delete(s.held, t.UID)
		}
	}
}

func (s *seen) has(uid string, state list.State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held[uid].State == state
}

func httpServer(t *testing.T, h http.Handler) string {
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

func quiet() *slog.Logger { return slog.New(slog.DiscardHandler) }
