package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// TestRegistryCluster has three nodes lose their leader, and then all of them: what was acknowledged is there, the revision goes on,
// and a watch sees every change.
func TestRegistryCluster(t *testing.T) {
	t.Parallel()
	cluster := newRegistryCluster(t, 3, "")
	observed := subscribeList(t, cluster)
	last := int64(0)
	for i := range 5 {
		uid := fmt.Sprintf("s-%d", i)
		revision := cluster.register(uid, "127.0.0.1:9000")
		if revision <= last {
			t.Fatalf("revision %d after %d", revision, last)
		}
		last = revision
		eventually(t, "news", func() bool { return observed.has(uid, list.Serving) })
		if i == 1 || i == 3 {
			cluster.kill(cluster.leader())
		}
		if i == 3 { // of three one is left
			checkMinority(t, cluster)
			cluster.startStopped()
		}
	}
	cluster.killAll()
	for _, node := range cluster.nodes {
		cluster.start(node)
	}
	servers, err := cluster.client.List(cluster.callContext(), true)
	if err != nil || servers.Rev < last {
		t.Fatalf("after kill -9 of all: %v, %v", servers, err)
	}
	for i := range 5 {
		uid := fmt.Sprintf("s-%d", i)
		if !slices.ContainsFunc(servers.Targets, func(t list.Target) bool { return t.UID == uid }) {
			t.Errorf("%s was acknowledged and is lost", uid)
		}
	}
	if _, err := cluster.client.Change(cluster.callContext(), client.Drain, "s-0", nil); err != nil {
		t.Fatal(err)
	}
	eventually(t, "news after all keepers were down", func() bool { return observed.has("s-0", list.Draining) })
}

// subscribeList subscribes to the cluster's list until the test ends.
func subscribeList(t *testing.T, cluster *registryCluster) *observedList {
	t.Helper()
	observed := &observedList{}
	subscriber, err := client.NewListSubscriber(client.ListOptions{Registry: cluster.addresses(), ShrinkLimits: client.DefaultShrinkLimits,
		Log: discardLog(), OnUpdate: observed.handleUpdate})
	if err != nil {
		t.Fatal(err)
	}
	runUntilCleanup(t, subscriber.Run)
	return observed
}

// checkMinority checks that a node without a majority takes no write and answers reads.
func checkMinority(t *testing.T, cluster *registryCluster) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	server := list.Registration{Target: list.Target{UID: "s-x", Endpoint: "127.0.0.1:1", State: list.Serving}}
	if _, err := cluster.client.Register(ctx, []list.Registration{server}, nil); err == nil {
		t.Error("a minority took a write")
	}
	// The last write may not have been published to it as committed.
	if servers, err := cluster.client.List(cluster.callContext(), false); err != nil || len(servers.Targets) < 3 {
		t.Errorf("a minority shows %v, %v", servers, err)
	}
}

// TestRegistryMembershipAndBackup adds nodes, removes some, and restores a backup, as operators would with the command.
func TestRegistryMembershipAndBackup(t *testing.T) {
	t.Parallel()
	cluster := newRegistryCluster(t, 1, "[timing]\nsnapshot_after = 20\nsnapshot_ms = 50\ntrailing = 5\n")
	for i := range 60 {
		cluster.register(fmt.Sprintf("s-%d", i), "127.0.0.1:9000")
	}
	backup := filepath.Join(t.TempDir(), "backup")
	cluster.runCommand(exitSuccess, "keeper", "backup", backup)
	old := cluster.register("late", "127.0.0.1:9001")

	first := cluster.nodes[0]
	for _, name := range []string{"k2", "k3"} {
		cluster.join(name, first)
		cluster.awaitVoter(name, first)
	}
	cluster.renewClient()
	eventually(t, "three that are up to date", func() bool { return cluster.countComplete(61, 3) == 3 })
	cluster.runCommand(exitSuccess, "keeper", "remove", "k1") // the leader itself, which then ends
	if code := first.run.waitForExit(t); code != exitSuccess {
		t.Errorf("the keeper that was removed ended with %d", code)
	}
	cluster.nodes = cluster.nodes[1:]
	if cluster.register("after", "127.0.0.1:9002") <= old {
		t.Error("the revision went back")
	}
	cluster.runCommand(exitFailure, "keeper", "remove", "k9")
	late := cluster.join("k4", cluster.nodes[0])
	cluster.renewClient()
	cluster.awaitVoter("k4", late)
	cluster.runCommand(exitSuccess, "keeper", "remove", "k4") // which is a raft follower, and gets no message any more
	if code := late.run.waitForExit(t); code != exitSuccess {
		t.Errorf("the keeper that was removed as it followed ended with %d", code)
	}
	cluster.nodes = cluster.nodes[:2]
	checkRestore(t, cluster, backup, old+1)
	if output := cluster.runCommand(exitSuccess, "status"); strings.Count(output, "revision") != 2 || !strings.Contains(output, "leader") {
		t.Errorf("status says %s", output)
	}
}

// checkRestore restores a backup of 60 servers, and has a torn backup refused. before is the revision before.
func checkRestore(t *testing.T, cluster *registryCluster, backup string, before int64) {
	t.Helper()
	var restored int64
	if _, err := fmt.Sscanf(cluster.runCommand(exitSuccess, "keeper", "restore", backup), "restored, at revision %d", &restored); err != nil {
		t.Fatal(err)
	}
	servers, err := cluster.client.List(cluster.callContext(), true)
	if err != nil || len(servers.Targets) != 60 || servers.Rev != restored || servers.Rev <= before {
		t.Errorf("restored %d servers at %d, %v; before %d", len(servers.Targets), servers.Rev, err, before)
	}
	if err := os.WriteFile(backup, []byte("gradeusher-state 1 1 0 0\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if output := cluster.runCommand(exitFailure, "keeper", "restore", backup); !strings.Contains(output, "unsound") {
		t.Errorf("a torn backup: %s", output)
	}
	if servers, err = cluster.client.List(cluster.callContext(), true); err != nil || len(servers.Targets) != 60 {
		t.Errorf("a torn backup changed the list: %d, %v", len(servers.Targets), err)
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

// TestSidecarOnRegistry runs the real sidecar on a registry: as its list in the platform's form, and with its own client, which
// survives the loss of all nodes and, with them gone, its own restart.
func TestSidecarOnRegistry(t *testing.T) {
	t.Parallel()
	cluster := newRegistryCluster(t, 1, "")
	backend := newHTTPServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprint(w, "done "+r.Header.Get("X-Request-ID")) // a client that has gone has its own error
	}))
	cluster.register("s-1", backend)
	t.Run("unchanged=true", func(t *testing.T) {
		proxy := newSidecarProcess(t, map[string]any{"discovery": cluster.nodes[0].http})
		process := proxy.start()
		eventually(t, "readiness", proxy.ready)
		proxy.checkServed("it does not serve")
		if err := process.Process.Signal(syscall.SIGTERM); err != nil {
			t.Error(err)
		}
		_ = process.Wait() // it drains and ends, else the test does not
	})
	t.Run("unchanged=false", func(t *testing.T) {
		proxy := newSidecarProcess(t, map[string]any{"keepers": map[string]any{"addresses": cluster.addresses()}})
		process := proxy.start()
		eventually(t, "readiness", proxy.ready)
		proxy.checkServed("it does not serve")
		eventually(t, "saved list", func() bool {
			_, err := os.Stat(filepath.Join(proxy.tmp, "list-n0.cache"))
			return err == nil
		})
		cluster.kill(cluster.nodes[0])
		proxy.checkServed("with no keeper it does not serve")
		process.kill(t)
		process = proxy.start()
		eventually(t, "readiness by the list that was saved", proxy.ready)
		proxy.checkServed("from the list that was saved it does not serve")
		process.kill(t)
		if !strings.Contains(process.err.String(), "list remembered") {
			t.Errorf("it does not say that it goes by an old list: %s", &process.err)
		}
	})
}

// TestRegistryConfig gives nodes configurations that make no sense: one line that says why, and exit 2.
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
		t.Run(want, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "keeper.toml")
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			code, _, errs := runCommand("keeper", path)
			if code != exitUsage || !strings.Contains(errs, want) || strings.Count(errs, "\n") != 1 {
				t.Errorf("exit %d: %q, want 2 and %q", code, errs, want)
			}
		})
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
