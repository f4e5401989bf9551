package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"gradeusher.example/gradeusher/internal/system/admin"
	"gradeusher.example/gradeusher/internal/system/replication"
	"gradeusher.example/gradeusher/internal/system/settings"
	"gradeusher.example/gradeusher/internal/system/wal"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

func discardLog() log.Interface { return &log.Logger{Handler: discard.New(), Level: log.ErrorLevel} }

// newTestNode returns a node that is not started. It is an observer if dataDir is empty.
func newTestNode(dataDir string) *node {
	return &node{log: discardLog(), settings: &settings.Settings{Node: "n", IP: "127.0.0.1", Zone: "za", Region: "r",
		Ports: []int{1, 2}, Seeds: []string{"127.0.0.1:3"}, DataDir: dataDir, Bootstrap: true}}
}

// startAndStop starts a node's chain, stops it, and returns its identity.
func startAndStop(t *testing.T, dataDir string) replication.ID {
	t.Helper()
	n := newTestNode(dataDir)
	if err := n.openChain(context.Background()); err != nil {
		t.Fatal(err)
	}
	defer n.chain.Stop()
	return n.chain.Self().ID
}

// TestUnreadableDiskIsQuarantined guards against a process that exits at every start because of unreadable files, and against deleting
// or serving their content.
func TestUnreadableDiskIsQuarantined(t *testing.T) {
	for name, corrupt := range map[string]func(*wal.Log) error{
		"register that is none":        func(l *wal.Log) error { return l.SaveMeta("register", []byte("\xff\xff not one")) },
		"register without identity":    func(l *wal.Log) error { return l.SaveMeta("register", nil) },
		"snapshot that is none":        func(l *wal.Log) error { return l.Install(wal.Snapshot{Seq: 7, Data: []byte("\xff\xff not one")}) },
		"record that is none":          func(l *wal.Log) error { return l.Append([]wal.Entry{{Seq: 1, Data: []byte("\xff\xff not one")}}) },
		"record with another's number": func(l *wal.Log) error { return l.Append([]wal.Entry{{Seq: 1, Data: []byte{0x08, 0x09}}}) },
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			folder := filepath.Join(dir, "control")
			disk, err := wal.Open(folder, wal.Options{})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := disk.Load(); err != nil {
				t.Fatal(err)
			}
			if err := corrupt(disk); err != nil {
				t.Fatal(err)
			}
			if err := disk.Close(); err != nil {
				t.Fatal(err)
			}
			startAndStop(t, dir)
			if kept := countFilesWith(t, folder, "not one", "\x08\x09"); kept == 0 && name != "register without identity" {
				t.Error("the content of the disk was deleted")
			}
			startAndStop(t, dir)
		})
	}
}

// countFilesWith counts the files in a directory that contain one of the texts.
func countFilesWith(t *testing.T, folder string, texts ...string) (n int) {
	t.Helper()
	files, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		data, err := os.ReadFile(filepath.Join(folder, f.Name()))
		if err != nil {
			t.Fatal(err)
		}
		for _, text := range texts {
			if strings.Contains(string(data), text) {
				n++
				break
			}
		}
	}
	return n
}

// TestObserverHasNoState guards against a node without a disk that reuses an identity that has voted, or that writes state somewhere.
func TestObserverHasNoState(t *testing.T) {
	n := newTestNode("")
	if err := n.openChain(context.Background()); err != nil {
		t.Fatal(err)
	}
	defer n.chain.Stop()
	if status, ok := n.status().(admin.NodeStatus); !ok || !status.Observer || status.Current {
		t.Errorf("status of the observer: %+v", status)
	}
	if c := n.chain.Capacity(); c.Observers != 1 || c.Nodes != 0 {
		t.Errorf("capacity seen by the observer: %+v", c)
	}
	if first, second := n.chain.Self().ID, startAndStop(t, ""); first == second {
		t.Error("an observer has the same identity after a restart")
	}
}

// TestPartitionedNodeAnswersAtOnce guards against a node that has reached no other node for seconds and holds each change until its
// deadline: its callers get no response meanwhile and do not try another node.
func TestPartitionedNodeAnswersAtOnce(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		partitioned := newTestNode("")
		if err := partitioned.openChain(t.Context()); err != nil {
			t.Fatal(err)
		}
		defer partitioned.chain.Stop()
		time.Sleep(5 * time.Second) // of the bubble's clock
		for _, path := range []string{"/Evacuation.Start/z", "/Evacuation.Finish/z", "/Config.Replace", "/Config.Amend"} {
			r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, path, strings.NewReader("{}"))
			r.Header.Set("X-Base-Version", "0")
			w := httptest.NewRecorder()
			began := time.Now()
			partitioned.operatorHandler().ServeHTTP(w, r)
			if took := time.Since(began); w.Code != http.StatusServiceUnavailable || took > 20*time.Millisecond {
				t.Errorf("%s: status %d after %v, want 503 at once: %s", path, w.Code, took, w.Body)
			}
		}
	})
}

// TestNoBootstrapAfterQuarantine guards against nodes whose logs were quarantined forming a first view again, with an empty state.
func TestNoBootstrapAfterQuarantine(t *testing.T) {
	options := newTestNode(t.TempDir()).replicationOptions()
	if !options.Bootstrap || withoutBootstrap(options).Bootstrap {
		t.Error("a node without its former log may take part in forming the first view")
	}
}

// TestDiskOptions guards against a log that grows until a small disk is full and then accepts no more changes.
func TestDiskOptions(t *testing.T) {
	for diskMB, want := range map[int64]wal.Options{0: {}, 64: {}, 1 << 20: {},
		16: {MaxBytes: 10 << 20, DiskBytes: 15e6}, 32: {MaxBytes: 20 << 20, DiskBytes: 30e6}, 63: {MaxBytes: 63 << 20 * 40 / 64, DiskBytes: 63e6 * 60 / 64}} {
		if got := diskOptions(diskMB); !reflect.DeepEqual(got, want) {
			t.Errorf("%d MB: %+v, want %+v", diskMB, got, want)
		}
	}
}

// TestLeaveTimeout guards against a node with the only replica of a record that stops waiting before the grace period allows, or that
// is killed while it waits.
func TestLeaveTimeout(t *testing.T) {
	for grace, want := range map[float64]time.Duration{0.1: time.Second, 1.5: time.Second, 8: 7300 * time.Millisecond} {
		if got := leaveTimeout(grace); got != want {
			t.Errorf("grace of %v s: %v, want %v", grace, got, want)
		}
	}
}
