package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/list"
	"gradeusher.example/gradeusher/internal/sidecar/registry"
	"gradeusher.example/gradeusher/internal/sidecar/replica"
)

// TestKeepers has three keepers lose their leader, and then all of them: what was acknowledged is there, the revision goes on,
// and a watch sees every change.
func TestKeepers(t *testing.T) {
	t.Parallel()
	k := newRegistryCluster(t, 3, "")
	s := &observedList{}
	f, err := client.NewListSubscriber(client.ListOptions{Registry: k.addresses(), ShrinkLimits: client.DefaultShrinkLimits, Log: discardLog(), OnUpdate: s.handleUpdate})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var follows sync.WaitGroup
	follows.Add(1)
	go func() {
		defer follows.Done()
		f.Run(ctx)
	}()
	defer follows.Wait()
	defer cancel()

	last := int64(0)
	for i := range 5 {
		rev := k.register(fmt.Sprintf("s-%d", i), "127.0.0.1:9000")
		if rev <= last {
			t.Fatalf("revision %d after %d", rev, last)
		}
		last = rev
		eventually(t, "news", func() bool { return s.has(fmt.Sprintf("s-%d", i), list.Serving) })
		if i == 1 || i == 3 {
			p := k.leader()
			k.kill(p)
			defer func() { k.start(p) }()
			if i == 3 { // of three one is left: nothing can be written, and everything read
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				if _, err := k.client.Register(ctx, []list.Registration{{Target: list.Target{UID: "s-x", Endpoint: "127.0.0.1:1", State: list.Serving}}}, nil); err == nil {
					t.Error("a minority took a write")
				}
				cancel()
				// The last write may not have been told to it as agreed on.
				if l, err := k.client.List(k.callContext(), false); err != nil || len(l.Targets) < 3 {
					t.Errorf("a minority shows %v, %v", l, err)
				}
				for _, q := range k.nodes {
					if q.run.ProcessState != nil {
						k.start(q)
					}
				}
			}
		}
	}
	for _, p := range k.nodes {
		if p.run.ProcessState == nil {
			k.kill(p)
		}
	}
	for _, p := range k.nodes {
		k.start(p)
	}
	l, err := k.client.List(k.callContext(), true)
	if err != nil || l.Rev < last {
		t.Fatalf("after kill -9 of all: %v, %v", l, err)
	}
	for i := range 5 {
		if !slices.ContainsFunc(l.Targets, func(t list.Target) bool { return t.UID == fmt.Sprintf("s-%d", i) }) {
			t.Errorf("s-%d was acknowledged and is lost", i)
		}
	}
	if _, err := k.client.Change(k.callContext(), client.Drain, "s-0", nil); err != nil {
		t.Fatal(err)
	}
	eventually(t, "news after all keepers were down", func() bool { return s.has("s-0", list.Draining) })
}

// TestKeepersChange adds a keeper, removes one, and restores a backup, as staff would with the command.
func TestKeepersChange(t *testing.T) {
	t.Parallel()
	k := newRegistryCluster(t, 1, "[timing]\nsnapshot_after = 20\nsnapshot_ms = 50\ntrailing = 5\n")
	for i := range 60 {
		k.register(fmt.Sprintf("s-%d", i), "127.0.0.1:9000")
	}
	cli := func(want int, args ...string) string {
		t.Helper()
		c := newCommand(t, args...)
		c.Env = append(c.Env, "GRADEUSHER_KEEPERS="+strings.Join(k.addresses(), ","))
		if code := c.waitForExit(t); code != want {
			t.Fatalf("%v: exit %d, want %d: %s%s", args, code, want, &c.out, &c.err)
		}
		return c.out.String() + c.err.String()
	}
	backup := filepath.Join(t.TempDir(), "backup")
	cli(0, "keeper", "backup", backup)
	old := k.register("late", "127.0.0.1:9001")

	first := k.nodes[0]
	for _, name := range []string{"k2", "k3"} {
		p := k.addNode(name)
		k.configure(p, fmt.Sprintf("join = true\n[[peer]]\nname = %q\nraft = %q\nhttp = %q\n", first.name, first.raft, first.http))
		k.start(p)
		eventually(t, name+"'s vote", func() bool {
			all, _ := client.Status[registry.Status](k.callContext(), k.client)
			return slices.ContainsFunc(all[first.http].Peers, func(p replica.Peer) bool { return p.Name == name && p.Voter })
		})
	}
	var err error
	if k.client, err = client.New(k.addresses()); err != nil {
		t.Fatal(err)
	}
	eventually(t, "three that are up to date", func() bool {
		all, _ := client.Status[registry.Status](k.callContext(), k.client)
		n := 0
		for _, s := range all {
			if s.Servers == 61 && len(s.Nodes) == 3 && len(s.Peers) == 3 {
				n++
			}
		}
		return n == 3
	})
	cli(0, "keeper", "remove", "k1") // the leader itself, which then ends
	if code := first.run.waitForExit(t); code != 0 {
		t.Errorf("the keeper that was removed ended with %d", code)
	}
	k.nodes = k.nodes[1:]
	if k.register("after", "127.0.0.1:9002") <= old {
		t.Error("the revision went back")
	}
	cli(exitFailure, "keeper", "remove", "k9")
	late := k.addNode("k4")
	k.configure(late, fmt.Sprintf("join = true\n[[peer]]\nname = %q\nraft = %q\nhttp = %q\n", k.nodes[0].name, k.nodes[0].raft, k.nodes[0].http))
	k.start(late)
	if k.client, err = client.New(k.addresses()); err != nil {
		t.Fatal(err)
	}
	eventually(t, "k4's vote", func() bool {
		all, _ := client.Status[registry.Status](k.callContext(), k.client)
		return slices.ContainsFunc(all[late.http].Peers, func(p replica.Peer) bool { return p.Name == "k4" && p.Voter })
	})
	cli(0, "keeper", "remove", "k4") // which follows, and hears no more
	if code := late.run.waitForExit(t); code != 0 {
		t.Errorf("the keeper that was removed as it followed ended with %d", code)
	}
	k.nodes = k.nodes[:2]

	var restored int64
	if _, err := fmt.Sscanf(cli(0, "keeper", "restore", backup), "restored, at revision %d", &restored); err != nil {
		t.Fatal(err)
	}
	l, err := k.client.List(k.callContext(), true)
	if err != nil || len(l.Targets) != 60 || l.Rev != restored || l.Rev <= old+1 {
		t.Errorf("restored %d servers at %d, %v; before %d", len(l.Targets), l.Rev, err, old+1)
	}
	if err := os.WriteFile(backup, []byte("gradeusher-state 1 1 0 0\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if said := cli(exitFailure, "keeper", "restore", backup); !strings.Contains(said, "unsound") {
		t.Errorf("a torn backup: %s", said)
	}
	if l, err = k.client.List(k.callContext(), true); err != nil || len(l.Targets) != 60 {
		t.Errorf("a torn backup changed the list: %d, %v", len(l.Targets), err)
	}
	if said := cli(0, "status"); strings.Count(said, "revision") != 2 || !strings.Contains(said, "leader") {
		t.Errorf("status says %s", said)
	}
}

// TestLease has a server hold its registration, be stopped past its lease, and come back.
func TestLease(t *testing.T) {
	t.Parallel()
	k := newRegistryCluster(t, 1, "[leases]\ngrace_ms = 60000\n")
	c := newCommand(t, "list", "register", "s-1", "127.0.0.1:9000", "--lease", "1s", "--hold", "--keepers", strings.Join(k.addresses(), ","))
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	state := func(want list.State) {
		t.Helper()
		eventually(t, string(want), func() bool {
			e, ok, err := k.client.Server(k.callContext(), "s-1")
			if err != nil {
				t.Fatal(err)
			}
			return ok && e.State == want || !ok && want == list.Deleted
		})
	}
	state(list.Serving)
	if err := c.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	state(list.Draining)
	if err := c.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	state(list.Serving)
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if code := c.waitForExit(t); code != 0 {
		t.Errorf("exit %d: %s", code, &c.err)
	}
	state(list.Deleted)
}

// TestSidecarOnKeepers runs the real sidecar on keepers: as its list in the platform's form, and with its own client, which
// survives the loss of all keepers and, with them gone, its own restart.
func TestSidecarOnKeepers(t *testing.T) {
	t.Parallel()
	k := newRegistryCluster(t, 1, "")
	backend := newHTTPServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "done "+r.Header.Get("X-Request-ID")) }))
	k.register("s-1", backend)
	for _, unchanged := range []bool{true, false} {
		t.Run(fmt.Sprintf("unchanged=%v", unchanged), func(t *testing.T) {
			fields := map[string]any{"keepers": map[string]any{"addresses": k.addresses()}}
			if unchanged {
				fields = map[string]any{"discovery": k.nodes[0].http}
			}
			s := newSidecarProcess(t, fields)
			ask := func() bool { return s.request() == "done "+fmt.Sprintf("%016x", s.requests) }
			c := s.start()
			eventually(t, "readiness", s.ready)
			if !ask() {
				t.Errorf("it does not serve: %s", s.lastOutcome)
			}
			if unchanged {
				c.Process.Signal(syscall.SIGTERM)
				c.Wait()
				return
			}
			eventually(t, "saved list", func() bool {
				_, err := os.Stat(filepath.Join(s.tmp, "list-n0.cache"))
				return err == nil
			})
			k.kill(k.nodes[0])
			if !ask() {
				t.Errorf("with no keeper it does not serve: %s", s.lastOutcome)
			}
			if err := c.Process.Kill(); err != nil {
				t.Fatal(err)
			}
			_ = c.Wait()
			c = s.start()
			eventually(t, "readiness by the list that was saved", s.ready)
			if !ask() {
				t.Errorf("from the list that was saved it does not serve: %s", s.lastOutcome)
			}
			_ = c.Process.Kill()
			_ = c.Wait()
			if !strings.Contains(c.err.String(), "list remembered") {
				t.Errorf("it does not say that it goes by an old list: %s", &c.err)
			}
		})
	}
}

// TestKeeperConfig gives keepers configurations that make no sense: one line that says why, and exit 2.
func TestKeeperConfig(t *testing.T) {
	t.Parallel()
	good := "name = \"k1\"\nfolder = \"x\"\nhttp = \"127.0.0.1:1\"\nraft = \"127.0.0.1:2\"\n[[peer]]\nname = \"k1\"\nraft = \"127.0.0.1:2\"\nhttp = \"127.0.0.1:1\"\n"
	for want, text := range map[string]string{
		"unknown key":               good + "colour = 1\n",
		"is the address of k1":      good + "[[peer]]\nname = \"k2\"\nraft = \"127.0.0.1:2\"\nhttp = \"127.0.0.1:4\"\n",
		"stands twice":              good + "[[peer]]\nname = \"k1\"\nraft = \"127.0.0.1:3\"\nhttp = \"127.0.0.1:4\"\n",
		"2 peers":                   good + "[[peer]]\nname = \"k2\"\nraft = \"127.0.0.1:3\"\nhttp = \"127.0.0.1:4\"\n",
		"is this keeper, and":       strings.Replace(good, "127.0.0.1:2\"\nhttp", "127.0.0.1:3\"\nhttp", 1),
		"k2 is not among the peers": strings.Replace(good, "name = \"k1\"", "name = \"k2\"", 1),
		"folder is missing":         strings.Replace(good, "folder = \"x\"", "folder = \"\"", 1),
		"limits.watchers: 0":        good + "[limits]\nwatchers = 0\n",
		"leases.share: 2":           good + "[leases]\nshare = 2.0\n",
		":6: expected":              strings.Replace(good, "[[peer]]", "[[peer", 1),
	} {
		path := filepath.Join(t.TempDir(), "keeper.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		var out, errs strings.Builder
		if code := run([]string{"keeper", path}, streams{strings.NewReader(""), &out, &errs, os.Getenv}); code != exitUsage ||
			!strings.Contains(errs.String(), want) || strings.Count(errs.String(), "\n") != 1 {
			t.Errorf("exit %d: %q, want 2 and %q", code, errs.String(), want)
		}
	}
}

// TestKeeperStepsDown ends the leader as an upgrade does: another one leads before it is gone, well under an election's time.
func TestKeeperStepsDown(t *testing.T) {
	t.Parallel()
	k := newRegistryCluster(t, 3, "[timing]\nheartbeat_ms = 10000\n")
	k.register("s-1", "127.0.0.1:9000")
	p := k.leader()
	if err := p.run.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if code := p.run.waitForExit(t); code != 0 {
		t.Errorf("exit %d", code)
	}
	began := time.Now()
	k.register("s-2", "127.0.0.1:9001")
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("a write waited %v for a leader; an election takes 10 s", took)
	}
}
