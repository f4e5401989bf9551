package restore

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/admin"
	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/operatorapi"
	"gradeusher.example/gradeusher/internal/system/replication"
	"gradeusher.example/gradeusher/internal/system/wal"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
	"gradeusher.example/gradeusher/internal/testsupport/memorynet"
	"gradeusher.example/gradeusher/internal/testsupport/redirect"
)

// testSystem is three nodes with a network in memory that write to real directories.
type testSystem struct {
	t       *testing.T
	network *memorynet.Network
	dirs    map[string]string
	nodes   map[string]*replication.Node
	apis    map[string]http.Handler
}

var machines = []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}

func newSystem(t *testing.T, root string) *testSystem {
	s := &testSystem{t: t, network: &memorynet.Network{}, dirs: map[string]string{},
		nodes: map[string]*replication.Node{}, apis: map[string]http.Handler{}}
	for _, m := range machines {
		s.dirs[m] = filepath.Join(root, m)
	}
	return s
}

func (s *testSystem) start(addr string) {
	s.t.Helper()
	discardLog := &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
	disk, err := wal.Open(filepath.Join(s.dirs[addr], "control"), wal.Options{})
	if err != nil {
		s.t.Fatal(err)
	}
	node, err := replication.Start(context.Background(), replication.Options{Addr: addr, Zone: "zone of " + addr, Region: "r", Port: 1, Seeds: machines,
		Bootstrap: true, MachineLosses: 1, Disk: disk, Transport: s.network, Log: discardLog})
	if err != nil {
		s.t.Fatal(err)
	}
	s.nodes[addr] = node
	s.network.Set(addr, node.Handler())
	mux := http.NewServeMux()
	mux.Handle("/", operatorapi.Handler(operatorapi.Options{Chain: node, Log: discardLog}))
	mux.Handle("/backup", admin.BackupHandler(node.Read))
	s.apis[addr] = mux
}

func (s *testSystem) stop() {
	for addr, node := range s.nodes {
		s.network.Set(addr, nil)
		node.Stop()
	}
}

// call sends a request to the operator's API of a machine until the response is not a 503.
func (s *testSystem) call(addr, method, path, base string, body []byte) *httptest.ResponseRecorder {
	s.t.Helper()
	for range 20 {
		w := redirect.Serve(s.apis[addr], path, func(target string) *http.Request {
			r := httptest.NewRequestWithContext(s.t.Context(), method, "http://"+addr+target, bytes.NewReader(body))
			if base != "" {
				r.Header.Set("X-Base-Version", base)
			}
			return r
		})
		if w.Code != http.StatusServiceUnavailable {
			return w
		}
		time.Sleep(200 * time.Millisecond) // of the bubble's clock
	}
	s.t.Fatalf("%s %s at %s: no response other than 503", method, path, addr)
	return nil
}

func readExample(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile("../../config/testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// fillSystem runs a system with a configuration and an evacuated zone, and returns its backup and the response of Config.Read.
func fillSystem(t *testing.T, root string) (backup, config []byte) {
	t.Helper()
	system := newSystem(t, root)
	for _, addr := range machines {
		system.start(addr)
	}
	defer system.stop()
	for _, request := range []struct {
		path, base string
		body       []byte
	}{
		{"/Config.Replace", "0", readExample(t, "replace.json")},
		{"/Config.Amend", "7", readExample(t, "amend.json")},
		{"/Evacuation.Start/away", "", nil},
	} {
		if w := system.call(machines[0], http.MethodPost, request.path, request.base, request.body); w.Code != http.StatusOK {
			t.Fatalf("%s: %d %s", request.path, w.Code, w.Body)
		}
	}
	config = system.call(machines[1], http.MethodGet, "/Config.Read", "", nil).Body.Bytes()
	w := system.call(machines[2], http.MethodGet, "/backup", "", nil)
	if w.Code != http.StatusOK {
		t.Fatal(w.Code, w.Body)
	}
	return w.Body.Bytes(), config
}

// TestRestoreIntoAnEmptySystem writes a backup to the disks of three new nodes. It guards against a backup that cannot be restored after
// the loss of all nodes.
func TestRestoreIntoAnEmptySystem(t *testing.T) {
	first, second := t.TempDir(), t.TempDir()
	bubble.Test(t, func(t *testing.T) {
		backup, config := fillSystem(t, first)
		state, err := controlstate.Decode(backup)
		if err != nil {
			t.Fatal(err)
		}
		system := newSystem(t, second)
		for _, addr := range machines {
			if err := Into(system.dirs[addr], state); err != nil {
				t.Fatal(err)
			}
			system.start(addr)
		}
		system.checkConfig("restored", config)
		system.checkCommitted("restored", state.Seq, true)
		// A change that was accepted before the backup is recognized, and new changes continue from there.
		if w := system.call(machines[1], http.MethodPost, "/Config.Amend", "7", readExample(t, "amend.json")); w.Code != http.StatusOK {
			t.Errorf("the last change, sent again: %d %s", w.Code, w.Body)
		}
		if w := system.call(machines[2], http.MethodPost, "/Evacuation.Finish/away", "", nil); w.Code != http.StatusOK {
			t.Errorf("a new change: %d %s", w.Code, w.Body)
		}
		system.stop()
		for _, addr := range machines {
			system.checkDisk(addr, state)
			system.start(addr)
		}
		system.checkConfig("after a restart", config)
		system.checkCommitted("after a restart", state.Seq+1, false)
		system.stop()
	})
}

// checkConfig checks that all nodes return the configuration.
func (s *testSystem) checkConfig(when string, config []byte) {
	s.t.Helper()
	for _, addr := range machines {
		if w := s.call(addr, http.MethodGet, "/Config.Read", "", nil); w.Code != http.StatusOK || !bytes.Equal(w.Body.Bytes(), config) {
			s.t.Errorf("%s: %s answers %d, %s", when, addr, w.Code, w.Body)
		}
	}
}

// checkCommitted checks the newest committed record of all nodes, and whether the zone "away" is evacuated after it.
func (s *testSystem) checkCommitted(when string, seq uint64, evacuated bool) {
	s.t.Helper()
	for _, addr := range machines {
		state, _ := s.nodes[addr].Committed()
		if state.Seq != seq || state.Evacuated["away"] != evacuated || !evacuated && len(state.Evacuated) > 0 {
			s.t.Errorf("%s: %s has record %d, evacuated %v", when, addr, state.Seq, state.Evacuated)
		}
	}
}

// checkDisk checks that the disk of a stopped node has one record after a state, and that no zone is evacuated after that record.
func (s *testSystem) checkDisk(addr string, before *controlstate.State) {
	s.t.Helper()
	state, err := From(s.dirs[addr])
	if err != nil || state.Seq != before.Seq+1 || state.Revision() != before.Revision() || len(state.Evacuated) > 0 {
		s.t.Errorf("on the disk of %s: %+v %v", addr, state, err)
	}
}

func TestRestoreRefuses(t *testing.T) {
	state, err := controlstate.Empty().Apply(controlstate.Change{Op: controlstate.OpEvacuate, Zone: "z"}.Record(1))
	if err != nil {
		t.Fatal(err)
	}
	used := filepath.Join(t.TempDir(), "used")
	if err := Into(used, state); err != nil {
		t.Fatal(err)
	}
	if err := Into(used, state); !errors.Is(err, ErrNotEmpty) {
		t.Errorf("twice: %v", err)
	}
	if s, err := From(used); err != nil || !bytes.Equal(s.Encode(), state.Encode()) {
		t.Errorf("read again: %+v %v", s, err)
	}
	if _, err := From(t.TempDir()); err == nil {
		t.Error("a directory that is not a node's data directory was read")
	}
	if err := Into(t.TempDir(), controlstate.Empty()); err == nil {
		t.Error("a state without a record was written")
	}
}
