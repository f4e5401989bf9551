package restore

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/admin"
	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/operatorapi"
	"gradeusher.example/gradeusher/internal/system/replication"
	"gradeusher.example/gradeusher/internal/system/wal"
)

// network takes requests straight to the handlers of the machine that they are for.
type network struct {
	mu    sync.Mutex
	hosts map[string]http.Handler
}

func (n *network) set(host string, h http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[host] = h
}

func (n *network) RoundTrip(r *http.Request) (*http.Response, error) {
	n.mu.Lock()
	h := n.hosts[r.URL.Hostname()]
	n.mu.Unlock()
	if h == nil {
		return nil, errors.New("connection refused")
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Result(), nil
}

// system is three keepers that talk in memory and write to real folders.
type system struct {
	t       *testing.T
	net     *network
	dirs    map[string]string
	keepers map[string]*replication.Node
	apis    map[string]http.Handler
}

var machines = []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}

func newSystem(t *testing.T, root string) *system {
	s := &system{t: t, net: &network{hosts: map[string]http.Handler{}}, dirs: map[string]string{},
		keepers: map[string]*replication.Node{}, apis: map[string]http.Handler{}}
	for _, m := range machines {
		s.dirs[m] = filepath.Join(root, m)
	}
	return s
}

// submitter fits a keeper to the operator's API, as cmd/controlplane does.
type submitter struct{ *replication.Node }

func (s submitter) Submit(ctx context.Context, c controlstate.Change) (controlstate.Verdict, error) {
	a, err := s.Node.Submit(ctx, c)
	a.Verdict.Seq = a.Seq
	return a.Verdict, err
}

func (s *system) start(m string) {
	s.t.Helper()
	quiet := &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
	disk, err := wal.Open(filepath.Join(s.dirs[m], "control"), wal.Options{})
	if err != nil {
		s.t.Fatal(err)
	}
	k, err := replication.Start(context.Background(), replication.Options{Addr: m, Zone: "zone of " + m, Region: "r", Port: 1, Seeds: machines,
		Bootstrap: true, MachineLosses: 1, Disk: disk, Transport: s.net, Log: quiet})
	if err != nil {
		s.t.Fatal(err)
	}
	s.keepers[m] = k
	s.net.set(m, k.Handler())
	calls := http.NewServeMux()
	calls.Handle("/", operatorapi.Handler(operatorapi.Options{Chain: submitter{k}, Log: quiet}))
	calls.Handle("/backup", admin.BackupHandler(k.Read))
	s.apis[m] = calls
}

func (s *system) stop() {
	for m, k := range s.keepers {
		s.net.set(m, nil)
		k.Stop()
	}
}

// call asks the operator's API of a machine until it answers something else than 503.
func (s *system) call(m, method, path, base string, body []byte) *httptest.ResponseRecorder {
	s.t.Helper()
	for range 20 {
		r := httptest.NewRequest(method, "http://"+m+path, bytes.NewReader(body))
		if base != "" {
			r.Header.Set("X-Base-Version", base)
		}
		w := httptest.NewRecorder()
		s.apis[m].ServeHTTP(w, r)
		if w.Code != http.StatusServiceUnavailable {
			return w
		}
		time.Sleep(200 * time.Millisecond) // of the bubble's clock
	}
	s.t.Fatalf("%s %s of %s: no answer", method, path, m)
	return nil
}

func example(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile("../../config/testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// filled runs a system, gives it a configuration and an evacuated zone, and returns the backup and what Config.Read says.
func filled(t *testing.T, root string) (backup, config []byte) {
	t.Helper()
	s := newSystem(t, root)
	for _, m := range machines {
		s.start(m)
	}
	defer s.stop()
	for _, c := range []struct {
		path, base string
		body       []byte
	}{
		{"/Config.Replace", "0", example(t, "replace.json")},
		{"/Config.Amend", "7", example(t, "amend.json")},
		{"/Evacuation.Start/away", "", nil},
	} {
		if w := s.call(machines[0], http.MethodPost, c.path, c.base, c.body); w.Code != http.StatusOK {
			t.Fatalf("%s: %d %s", c.path, w.Code, w.Body)
		}
	}
	config = s.call(machines[1], http.MethodGet, "/Config.Read", "", nil).Body.Bytes()
	w := s.call(machines[2], http.MethodGet, "/backup", "", nil)
	if w.Code != http.StatusOK {
		t.Fatal(w.Code, w.Body)
	}
	return w.Body.Bytes(), config
}

// TestRestoreIntoAnEmptySystem lays a backup on the disks of three new keepers. Danger: the system is lost, and what staff
// have kept of it cannot be brought back.
func TestRestoreIntoAnEmptySystem(t *testing.T) {
	first, second := t.TempDir(), t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		backup, config := filled(t, first)
		state, err := controlstate.Decode(backup)
		if err != nil {
			t.Fatal(err)
		}
		s := newSystem(t, second)
		for _, m := range machines {
			if err := Into(s.dirs[m], state); err != nil {
				t.Fatal(err)
			}
			s.start(m)
		}
		for _, m := range machines {
			if w := s.call(m, http.MethodGet, "/Config.Read", "", nil); w.Code != http.StatusOK || !bytes.Equal(w.Body.Bytes(), config) {
				t.Errorf("%s answers %d, %s", m, w.Code, w.Body)
			}
			held, _ := s.keepers[m].Committed()
			if !held.Evacuated["away"] || held.Seq != state.Seq {
				t.Errorf("%s holds record %d, evacuated %v", m, held.Seq, held.Evacuated)
			}
		}
		// What was taken before the backup is known again, and what is new goes on from there.
		if w := s.call(machines[1], http.MethodPost, "/Config.Amend", "7", example(t, "amend.json")); w.Code != http.StatusOK {
			t.Errorf("the last change, sent again: %d %s", w.Code, w.Body)
		}
		if w := s.call(machines[2], http.MethodPost, "/Evacuation.Finish/away", "", nil); w.Code != http.StatusOK {
			t.Errorf("a new change: %d %s", w.Code, w.Body)
		}
		s.stop()
		for _, m := range machines { // on their own disks
			if held, err := From(s.dirs[m]); err != nil || held.Seq != state.Seq+1 || held.Revision() != state.Revision() || len(held.Evacuated) > 0 {
				t.Errorf("on the disk of %s: %+v %v", m, held, err)
			}
			s.start(m)
		}
		for _, m := range machines {
			if w := s.call(m, http.MethodGet, "/Config.Read", "", nil); !bytes.Equal(w.Body.Bytes(), config) {
				t.Errorf("after a restart %s answers %d, %s", m, w.Code, w.Body)
			}
			if held, _ := s.keepers[m].Committed(); held.Seq != state.Seq+1 || len(held.Evacuated) > 0 {
				t.Errorf("after a restart %s holds record %d, evacuated %v", m, held.Seq, held.Evacuated)
			}
		}
		s.stop()
	})
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
		t.Error("a folder that is no keeper's was read")
	}
	if err := Into(t.TempDir(), controlstate.Empty()); err == nil {
		t.Error("a state without a record was laid down")
	}
}
