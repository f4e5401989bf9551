package compat

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gradeusher.example/gradeusher/balance/routes"
	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/list"
	"gradeusher.example/gradeusher/internal/sidecar/registry"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// The fixtures: registryData is the folder of a registry node, with a snapshot and commands after it;
// registryBackup is what GET /v1/backup answered.
const (
	registryData   = "testdata/registry_data"
	registryBackup = "testdata/registry.backup"
	registryWait   = 20 * time.Second // bounds what a test waits for; it is no measure
)

// registryFixture is a running registry node.
type registryFixture struct {
	t  *testing.T
	at string
}

// startRegistry runs a registry node by itself in a folder until the test ends, or until the function that it returns is called.
func startRegistry(t *testing.T, folder string) (*registryFixture, func()) {
	t.Helper()
	c := registry.Defaults()
	c.Name, c.Folder, c.HTTP, c.Raft = "k1", folder, "127.0.0.1:0", "127.0.0.1:0"
	c.Peers = []registry.Peer{{Name: "k1", Raft: "127.0.0.1:0", HTTP: "127.0.0.1:1"}}
	c.AdvertiseHTTP = "127.0.0.1:1"
	c.Timing.HeartbeatMS, c.Timing.SnapshotMS, c.Timing.SnapshotAfter = 60, 50, 4
	ctx, cancel := context.WithCancel(context.Background())
	ready, ended := make(chan string, 1), make(chan error, 1)
	go func() { ended <- registry.Run(ctx, c, slog.New(slog.DiscardHandler), func(at string) { ready <- at }) }()
	stop := func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		http.DefaultClient.CloseIdleConnections()
	}
	select {
	case at := <-ready:
		return &registryFixture{t, at}, stop
	case err := <-ended:
		cancel()
		t.Fatal(err)
		return nil, nil
	}
}

func (r *registryFixture) try(method, path, body string) (int, []byte) {
	r.t.Helper()
	req, err := http.NewRequestWithContext(r.t.Context(), method, "http://"+r.at+path, strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		r.t.Fatal(err)
	}
	text, err := io.ReadAll(resp.Body)
	if err = errors.Join(err, resp.Body.Close()); err != nil {
		r.t.Fatal(err)
	}
	return resp.StatusCode, text
}

// call sends a call until the node leads, and returns its answer.
func (r *registryFixture) call(method, path, body string) []byte {
	r.t.Helper()
	for end := time.Now().Add(registryWait); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		code, text := r.try(method, path, body)
		if code == http.StatusOK {
			return text
		}
		if code != http.StatusServiceUnavailable {
			r.t.Fatalf("%s %s: %d %s", method, path, code, text)
		}
	}
	r.t.Fatalf("%s %s: no answer", method, path)
	return nil
}

// server is a registration of one server that no lease ends.
func server(uid string, n int) string {
	return fmt.Sprintf(`{"servers":[{"uid":%q,"endpoint":"10.0.0.%d:80","az":"za","model":"m","pod_group":%d,"capacity_hint":1.5,"boot_ms":%d}]}`, uid, n, n, 1000+n)
}

const routeTable = `{"rules":[{"name":"a","source":{"service":"front"},"service":{"service":"back"},` +
	`"destinations":[{"match":{"version":"x"},"weight":1},{"match":{"version":"y"},"weight":2.5,"per_size":true}]}]}`

// snapshots are the folders of raft's snapshots.
func snapshots(t *testing.T, folder string) []string {
	t.Helper()
	all, err := filepath.Glob(filepath.Join(folder, "raft", "snapshots", "*", "state.bin"))
	if err != nil {
		t.Fatal(err)
	}
	return all
}

func writeRegistryFixtures(t *testing.T) {
	t.Helper()
	if err := os.RemoveAll(registryData); err != nil {
		t.Fatal(err)
	}
	r, stop := startRegistry(t, registryData)
	defer stop()
	for n := 1; n <= 5; n++ {
		r.call("POST", "/v1/servers", server(fmt.Sprintf("s-%d", n), n))
	}
	r.call("POST", "/v1/servers", `{"servers":[{"uid":"leased","endpoint":"10.0.0.9:80","az":"zb","model":"m","lease_ms":3600000}]}`)
	r.call("POST", "/v1/servers/s-2/drain", "")
	r.call("DELETE", "/v1/servers/s-3", "")
	r.call("PUT", "/v1/routes", routeTable)
	r.call("POST", "/v1/duties/d1/campaign", `{"who":"a#1","room":"za","at":"za","ttl_ms":60000}`)
	for end := time.Now().Add(registryWait); len(snapshots(t, registryData)) == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no snapshot")
		}
	}
	r.call("POST", "/v1/servers", server("s-6", 6)) // behind the snapshot
	if err := os.WriteFile(registryBackup, r.call("GET", "/v1/backup", ""), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestWriteRegistryFixtures(t *testing.T) {
	if !writing() {
		t.Skip("the fixtures are written with GRADEUSHER_WRITE_GOLDEN=1 alone")
	}
	writeRegistryFixtures(t)
}

// stable drops what differs from run to run from a JSON object.
func stable(t *testing.T, text []byte, keys ...string) []byte {
	t.Helper()
	var v map[string]any
	if err := json.Unmarshal(text, &v); err != nil {
		t.Fatalf("%v in %s", err, text)
	}
	for _, key := range keys {
		if _, ok := v[key]; !ok {
			t.Errorf("no %s in %s", key, text)
		}
		delete(v, key)
	}
	out, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// TestRegistryFolder starts a registry node in the folder: servers, routes and status are those that were left.
func TestRegistryFolder(t *testing.T) {
	r, stop := startRegistry(t, copied(t, registryData))
	defer stop()
	r.call("GET", "/v1/servers?exact=1", "")
	goldenJSON(t, "registry_servers.json", r.call("GET", "/v1/servers", ""))
	goldenJSON(t, "registry_server.json", r.call("GET", "/v1/servers/leased", ""))
	goldenJSON(t, "registry_routes.json", r.call("GET", "/v1/routes", ""))
	status := r.call("GET", "/v1/status", "")
	goldenJSON(t, "registry_status.json", stable(t, status, "age_ms", "term", "commit_index", "applied_index", "last_index", "leases"))
	code, text := r.try("POST", "/v1/servers/none/drain", "")
	if code != http.StatusNotFound {
		t.Errorf("an unknown server: %d", code)
	}
	goldenJSON(t, "registry_problem.json", text)
	r.call("POST", "/v1/servers/s-2/serve", "")
	golden(t, "registry_metrics.txt", metricNames(r.call("GET", "/metrics", "")))
}

// metricNames are the names and types of a registry node's own metrics. Those of the Go runtime and the process are its library's.
func metricNames(text []byte) []byte {
	var out bytes.Buffer
	for line := range strings.Lines(string(text)) {
		if name, ok := strings.CutPrefix(line, "# TYPE "); ok && !strings.HasPrefix(name, "go_") && !strings.HasPrefix(name, "process_") {
			out.WriteString(name)
		}
	}
	return out.Bytes()
}

// TestRegistryBackup reads a backup, which has the form of a snapshot.
func TestRegistryBackup(t *testing.T) {
	text, err := os.ReadFile(registryBackup)
	if err != nil {
		t.Fatal(err)
	}
	restored, err := state.ReadSnapshot(bytes.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	draining := 0
	for _, target := range restored.Targets() {
		if target.State == list.Draining {
			draining++
		}
	}
	leased := restored.LeasedEntries()
	wrong := restored.Revision() != 9 || restored.Len() != 6 || draining != 1 || len(leased) != 1 || leased[0].UID != "leased" || restored.Generation() != 1 || restored.Cluster() == ""
	if wrong {
		t.Errorf("revision %d, %d servers, %d draining, leased %v, generation %d, cluster %q", restored.Revision(), restored.Len(), draining, leased, restored.Generation(), restored.Cluster())
	}
	duties := 0
	restored.EachRole(func(d *state.Role) {
		duties++
		if d.Name != "d1" || d.Epoch != 1 || d.Owner == nil || d.Owner.Process != "a#1" || d.Location != "za" {
			t.Errorf("duty %+v", d)
		}
	})
	if duties != 1 {
		t.Errorf("%d duties", duties)
	}
	again, err := restored.Snapshot()
	if err != nil || !bytes.Equal(again, text) {
		t.Errorf("written again it differs:\n%s\n%s\n%v", again, text, err)
	}
}

// TestRegistrySnapshots reads raft's snapshots in the folder.
func TestRegistrySnapshots(t *testing.T) {
	all := snapshots(t, registryData)
	if len(all) == 0 {
		t.Fatal("no snapshot")
	}
	for _, path := range all {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		m, err := state.ReadSnapshot(bytes.NewReader(text))
		if err != nil || m.Revision() == 0 || m.Cluster() == "" {
			t.Errorf("%s: %v", path, err)
		}
		if again, err := m.Snapshot(); err != nil || !bytes.Equal(again, text) {
			t.Errorf("%s differs when it is written again: %v", path, err)
		}
	}
}

var savedAt = time.UnixMilli(1_700_000_000_123)

// TestListCache: the last list that a sidecar keeps for its next process.
func TestListCache(t *testing.T) {
	capacity := 1.5
	l := list.List{Rev: 44, All: true, Cluster: "c0ffee", Targets: []list.Target{
		{UID: "s-1", Endpoint: "10.0.0.1:80", Zone: "za", Model: "m", PodGroup: 3, State: list.Serving, Capacity: &capacity, BootMS: 45},
		{UID: "s-2", Endpoint: "10.0.0.2:80", Zone: "zb", Model: "m", State: list.Draining}}}
	dir := t.TempDir()
	if err := client.NewListCache(dir, "n7").Save(l, savedAt); err != nil {
		t.Fatal(err)
	}
	sameFile(t, dir, "list-n7.cache")
	got, age, ok, err := client.NewListCache(copied(t, "testdata/sealed"), "n7").Load(savedAt.Add(5 * time.Second))
	if err != nil || !ok || age != 5*time.Second || got.Rev != 44 || len(got.Targets) != 2 || got.Targets[0].Differs(l.Targets[0]) || got.Targets[1] != l.Targets[1] {
		t.Errorf("%+v, %v old, %t, %v", got, age, ok, err)
	}
}

// TestRouteCache: the last route table that a sidecar keeps for its next process.
func TestRouteCache(t *testing.T) {
	var call struct{ Rules routes.Table }
	if err := json.Unmarshal([]byte(routeTable), &call); err != nil {
		t.Fatal(err)
	}
	held := client.RouteState{Cluster: "c0ffee", Generation: 7, Hash: call.Rules.Hash(), Rules: call.Rules}
	cut := client.RouteFilter(map[string]string{"version": "v", "area": "a"}, "back")
	dir := t.TempDir()
	if err := client.NewRouteCache(dir, "n7").Save(held, cut, savedAt); err != nil {
		t.Fatal(err)
	}
	sameFile(t, dir, "routes-n7.cache")
	got, age, ok, err := client.NewRouteCache(copied(t, "testdata/sealed"), "n7").Load(cut, savedAt.Add(time.Second))
	if err != nil || !ok || age != time.Second || got.Generation != 7 || got.Rules.Hash() != held.Hash {
		t.Errorf("%+v, %v old, %t, %v", got, age, ok, err)
	}
}

// sameFile compares a file that was written with the one of the same name in testdata/sealed.
func sameFile(t *testing.T, dir, name string) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(dir, name))
	if err != nil {
		t.Fatal(err)
	}
	golden(t, filepath.Join("sealed", name), text)
}
