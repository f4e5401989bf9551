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

// TestRegistryCluster has three keepers lose their leader, and then all of them: what was acknowledged is there, the revision goes on,
// and a watch sees every change.
func TestRegistryCluster(t *testing.T) {
	t.Parallel()
	cluster := newRegistryCluster(t, 3, "")
	observed := &observedList{}
	subscriber, err := client.NewListSubscriber(client.ListOptions{Registry: cluster.addresses(), ShrinkLimits: client.DefaultShrinkLimits, Log: discardLog(), OnUpdate: observed.handleUpdate})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var follows sync.WaitGroup
	follows.Add(1)
	go func() {
		defer follows.Done()
		subscriber.Run(ctx)
	}()
	defer follows.Wait()
	defer cancel()

	last := int64(0)
	for i := range 5 {
		rev := cluster.register(fmt.Sprintf("s-%d", i), "127.0.0.1:9000")
		if rev <= last {
			t.Fatalf("revision %d after %d", rev, last)
		}
		last = rev
		eventually(t, "news", func() bool { return observed.has(fmt.Sprintf("s-%d", i), list.Serving) })
		if i == 1 || i == 3 {
			node := cluster.leader()
			cluster.kill(node)
			defer func() { cluster.start(node) }()
			if i == 3 { // of three one is left: nothing can be written, and everything read
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				if _, err := cluster.client.Register(ctx, []list.Registration{{Target: list.Target{UID: "s-x", Endpoint: "127.0.0.1:1", State: list.Serving}}}, nil); err == nil {
					t.Error("a minority took a write")
				}
				cancel()
				// The last write may not have been told to it as agreed on.
				if servers, err := cluster.client.List(cluster.callContext(), false); err != nil || len(servers.Targets) < 3 {
					t.Errorf("a minority shows %v, %v", servers, err)
				}
				for _, down := range cluster.nodes {
					if down.run.ProcessState != nil {
						cluster.start(down)
					}
				}
			}
		}
	}
	for _, node := range cluster.nodes {
		if node.run.ProcessState == nil {
			cluster.kill(node)
		}
	}
	for _, node := range cluster.nodes {
		cluster.start(node)
	}
	servers, err := cluster.client.List(cluster.callContext(), true)
	if err != nil || servers.Rev < last {
		t.Fatalf("after kill -9 of all: %v, %v", servers, err)
	}
	for i := range 5 {
		if !slices.ContainsFunc(servers.Targets, func(t list.Target) bool { return t.UID == fmt.Sprintf("s-%d", i) }) {
			t.Errorf("s-%d was acknowledged and is lost", i)
		}
	}
	if _, err := cluster.client.Change(cluster.callContext(), client.Drain, "s-0", nil); err != nil {
		t.Fatal(err)
	}
	eventually(t, "news after all keepers were down", func() bool { return observed.has("s-0", list.Draining) })
}

// TestRegistryMembershipAndBackup adds a keeper, removes one, and restores a backup, as staff would with the command.
func TestRegistryMembershipAndBackup(t *testing.T) {
	t.Parallel()
	cluster := newRegistryCluster(t, 1, "[timing]\nsnapshot_after = 20\nsnapshot_ms = 50\ntrailing = 5\n")
	for i := range 60 {
		cluster.register(fmt.Sprintf("s-%d", i), "127.0.0.1:9000")
	}
	cli := func(want int, args ...string) string {
		t.Helper()
		c := newCommand(t, args...)
		c.Env = append(c.Env, "GRADEUSHER_KEEPERS="+strings.Join(cluster.addresses(), ","))
		if code := c.waitForExit(t); code != want {
			t.Fatalf("%v: exit %d, want %d: %s%s", args, code, want, &c.out, &c.err)
		}
		return c.out.String() + c.err.String()
	}
	backup := filepath.Join(t.TempDir(), "backup")
	cli(0, "keeper", "backup", backup)
	old := cluster.register("late", "127.0.0.1:9001")

	first := cluster.nodes[0]
	for _, name := range []string{"k2", "k3"} {
		p := cluster.addNode(name)
		cluster.configure(p, fmt.Sprintf("join = true\n[[peer]]\nname = %q\nraft = %q\nhttp = %q\n", first.name, first.raft, first.http))
		cluster.start(p)
		eventually(t, name+"'s vote", func() bool {
			all, _ := client.Status[registry.Status](cluster.callContext(), cluster.client)
			return slices.ContainsFunc(all[first.http].Peers, func(p replica.Peer) bool { return p.Name == name && p.Voter })
		})
	}
	var err error
	if cluster.client, err = client.New(cluster.addresses()); err != nil {
		t.Fatal(err)
	}
	eventually(t, "three that are up to date", func() bool {
		all, _ := client.Status[registry.Status](cluster.callContext(), cluster.client)
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
	cluster.nodes = cluster.nodes[1:]
	if cluster.register("after", "127.0.0.1:9002") <= old {
		t.Error("the revision went back")
	}
	cli(exitFailure, "keeper", "remove", "k9")
	late := cluster.addNode("k4")
	cluster.configure(late, fmt.Sprintf("join = true\n[[peer]]\nname = %q\nraft = %q\nhttp = %q\n", cluster.nodes[0].name, cluster.nodes[0].raft, cluster.nodes[0].http))
	cluster.start(late)
	if cluster.client, err = client.New(cluster.addresses()); err != nil {
		t.Fatal(err)
	}
	eventually(t, "k4's vote", func() bool {
		all, _ := client.Status[registry.Status](cluster.callContext(), cluster.client)
		return slices.ContainsFunc(all[late.http].Peers, func(p replica.Peer) bool { return p.Name == "k4" && p.Voter })
	})
	cli(0, "keeper", "remove", "k4") // which follows, and hears no more
	if code := late.run.waitForExit(t); code != 0 {
		t.Errorf("the keeper that was removed as it followed ended with %d", code)
	}
	cluster.nodes = cluster.nodes[:2]

	var restored int64
	if _, err := fmt.Sscanf(cli(0, "keeper", "restore", backup), "restored, at revision %d", &restored); err != nil {
		t.Fatal(err)
	}
	servers, err := cluster.client.List(cluster.callContext(), true)
	if err != nil || len(servers.Targets) != 60 || servers.Rev != restored || servers.Rev <= old+1 {
		t.Errorf("restored %d servers at %d, %v; before %d", len(servers.Targets), servers.Rev, err, old+1)
	}
	if err := os.WriteFile(backup, []byte("gradeusher-state 1 1 0 0\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if output := cli(exitFailure, "keeper", "restore", backup); !strings.Contains(output, "unsound") {
		t.Errorf("a torn backup: %s", output)
	}
	if servers, err = cluster.client.List(cluster.callContext(), true); err != nil || len(servers.Targets) != 60 {
		t.Errorf("a torn backup changed the list: %d, %v", len(servers.Targets), err)
	}
	if output := cli(0, "status"); strings.Count(output, "revision") != 2 || !strings.Contains(output, "leader") {
		t.Errorf("status says %s", output)
	}
}

// TestLease has a server hold its registration, be stopped past its lease, and come back.
func TestLease(t *testing.T) {
	t.Parallel()
	cluster := newRegistryCluster(t, 1, "[leases]\ngrace_ms = 60000\n")
	holder := newCommand(t, "list", "register", "s-1", "127.0.0.1:9000", "--lease", "1s", "--hold", "--keepers", strings.Join(cluster.addresses(), ","))
	if err := holder.Start(); err != nil {
		t.Fatal(err)
	}
	awaitState := func(want list.State) {
		t.Helper()
		eventually(t, string(want), func() bool {
			e, ok, err := cluster.client.Server(cluster.callContext(), "s-1")
			if err != nil {
				t.Fatal(err)
			}
			return ok && e.State == want || !ok && want == list.Deleted
		})
	}
	awaitState(list.Serving)
	if err := holder.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	awaitState(list.Draining)
	if err := holder.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	awaitState(list.Serving)
	if err := holder.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if code := holder.waitForExit(t); code != 0 {
		t.Errorf("exit %d: %s", code, &holder.err)
	}
	awaitState(list.Deleted)
}

// TestSidecarOnRegistry runs the real sidecar on keepers: as its list in the platform's form, and with its own client, which
// survives the loss of all keepers and, with them gone, its own restart.
func TestSidecarOnRegistry(t *testing.T) {
	t.Parallel()
	cluster := newRegistryCluster(t, 1, "")
	backend := newHTTPServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "done "+r.Header.Get("X-Request-ID")) }))
	cluster.register("s-1", backend)
	for _, unchanged := range []bool{true, false} {
		t.Run(fmt.Sprintf("unchanged=%v", unchanged), func(t *testing.T) {
			fields := map[string]any{"keepers": map[string]any{"addresses": cluster.addresses()}}
			if unchanged {
				fields = map[string]any{"discovery": cluster.nodes[0].http}
			}
			proxy := newSidecarProcess(t, fields)
			served := func() bool { return proxy.request() == "done "+fmt.Sprintf("%016x", proxy.requests) }
			process := proxy.start()
			eventually(t, "readiness", proxy.ready)
			if !served() {
				t.Errorf("it does not serve: %s", proxy.lastOutcome)
			}
			if unchanged {
				process.Process.Signal(syscall.SIGTERM)
				process.Wait()
				return
			}
			eventually(t, "saved list", func() bool {
				_, err := os.Stat(filepath.Join(proxy.tmp, "list-n0.cache"))
				return err == nil
			})
			cluster.kill(cluster.nodes[0])
			if !served() {
				t.Errorf("with no keeper it does not serve: %s", proxy.lastOutcome)
			}
			if err := process.Process.Kill(); err != nil {
				t.Fatal(err)
			}
			_ = process.Wait()
			process = proxy.start()
			eventually(t, "readiness by the list that was saved", proxy.ready)
			if !served() {
				t.Errorf("from the list that was saved it does not serve: %s", proxy.lastOutcome)
			}
			_ = process.Process.Kill()
			_ = process.Wait()
			if !strings.Contains(process.err.String(), "list remembered") {
				t.Errorf("it does not say that it goes by an old list: %s", &process.err)
			}
		})
	}
}

// TestRegistryConfig gives keepers configurations that make no sense: one line that says why, and exit 2.
func TestRegistryConfig(t *testing.T) {
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

// TestRegistryLeaderStepsDown ends the leader as an upgrade does: another one leads before it is gone, well under an election's time.
func TestRegistryLeaderStepsDown(t *testing.T) {
	t.Parallel()
	cluster := newRegistryCluster(t, 3, "[timing]\nheartbeat_ms = 10000\n")
	cluster.register("s-1", "127.0.0.1:9000")
	leader := cluster.leader()
	if err := leader.run.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if code := leader.run.waitForExit(t); code != 0 {
		t.Errorf("exit %d", code)
	}
	began := time.Now()
	cluster.register("s-2", "127.0.0.1:9001")
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("a write waited %v for a leader; an election takes 10 s", took)
	}
}
