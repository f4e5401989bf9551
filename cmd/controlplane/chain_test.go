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
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"gradeusher.example/gradeusher/internal/system/admin"
	"gradeusher.example/gradeusher/internal/system/operatorapi"
	"gradeusher.example/gradeusher/internal/system/replication"
	"gradeusher.example/gradeusher/internal/system/settings"
	"gradeusher.example/gradeusher/internal/system/wal"
)

func quietLog() log.Interface { return &log.Logger{Handler: discard.New(), Level: log.ErrorLevel} }

// keeperAt is a keeper that was not started; dataDir may be empty.
func keeperAt(dataDir string) *keeper {
	return &keeper{log: quietLog(), settings: &settings.Settings{Node: "n", IP: "127.0.0.1", Zone: "za", Region: "r",
		Ports: []int{1, 2}, Seeds: []string{"127.0.0.1:3"}, DataDir: dataDir, Bootstrap: true}}
}

// startOnce starts the keeper's chain, ends it, and gives its identity.
func startOnce(t *testing.T, dataDir string) replication.ID {
	t.Helper()
	k := keeperAt(dataDir)
	if err := k.start(context.Background()); err != nil {
		t.Fatal(err)
	}
	defer k.chain.Stop()
	return k.chain.Self().ID
}

// TestStartsAnewOnAnUnreadableDisk: danger: the process ends at each start, for good, or the disk's content is deleted, or
// served.
func TestStartsAnewOnAnUnreadableDisk(t *testing.T) {
	for name, spoil := range map[string]func(*wal.Log) error{
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
			if _, _, _, err := disk.Load(); err != nil {
				t.Fatal(err)
			}
			if err := spoil(disk); err != nil {
				t.Fatal(err)
			}
			if err := disk.Close(); err != nil {
				t.Fatal(err)
			}
			startOnce(t, dir)
			if kept := filesWith(t, folder, "not one", "\x08\x09"); kept == 0 && name != "register without identity" {
				t.Error("what was on the disk is gone")
			}
			startOnce(t, dir)
		})
	}
}

// filesWith counts the files of a folder that hold one of the texts.
func filesWith(t *testing.T, folder string, texts ...string) (n int) {
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

// TestAnObserverKeepsNothing: danger: a keeper without a disk takes up an identity that has voted, or writes somewhere.
func TestAnObserverKeepsNothing(t *testing.T) {
	k := keeperAt("")
	if err := k.start(context.Background()); err != nil {
		t.Fatal(err)
	}
	defer k.chain.Stop()
	if status, ok := k.status().(admin.NodeStatus); !ok || !status.Observer || status.Current {
		t.Errorf("its status is %+v", status)
	}
	if c := k.chain.Capacity(); c.Observers != 1 || c.Nodes != 0 {
		t.Errorf("it counts itself as %+v", c)
	}
	if first, second := k.chain.Self().ID, startOnce(t, ""); first == second {
		t.Error("two lives have one identity")
	}
}

// TestOrdersWithoutAWayToTheChain: danger: a keeper that has reached no other for seconds holds each order until its deadline,
// and the caller, who hears nothing, sends it to no other keeper.
func TestOrdersWithoutAWayToTheChain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := keeperAt("")
		k.stalls = operatorapi.NewStallDetector()
		if err := k.start(t.Context()); err != nil {
			t.Fatal(err)
		}
		defer k.chain.Stop()
		go k.stalls.Run(t.Context())
		time.Sleep(5 * time.Second) // of the bubble's clock
		for _, path := range []string{"/Evacuation.Start/z", "/Evacuation.Finish/z", "/Config.Replace", "/Config.Amend"} {
			r := httptest.NewRequest(http.MethodPost, path, strings.NewReader("{}"))
			r.Header.Set("X-Base-Version", "0")
			w := httptest.NewRecorder()
			began := time.Now()
			k.operatorCalls().ServeHTTP(w, r)
			if took := time.Since(began); w.Code != http.StatusServiceUnavailable || took > 20*time.Millisecond {
				t.Errorf("%s: status %d after %v, want 503 at once: %s", path, w.Code, took, w.Body)
			}
		}
	})
}

// TestAnewTakesNoPartInAFirstView: danger: keepers whose logs were put aside form a first view again, with an empty state.
func TestAnewTakesNoPartInAFirstView(t *testing.T) {
	options := keeperAt(t.TempDir()).chainOptions()
	if !options.Bootstrap || anew(options).Bootstrap {
		t.Error("a keeper that begins anew may take part in forming the first view")
	}
}

// TestDiskOptions: danger: a log that is let grow past a small disk fails with the disk full, and takes no more changes.
func TestDiskOptions(t *testing.T) {
	for diskMB, want := range map[int64]wal.Options{0: {}, 64: {}, 1 << 20: {},
		16: {MaxBytes: 10 << 20, DiskBytes: 15e6}, 32: {MaxBytes: 20 << 20, DiskBytes: 30e6}, 63: {MaxBytes: 63 << 20 * 40 / 64, DiskBytes: 63e6 * 60 / 64}} {
		if got := diskOptions(diskMB); !reflect.DeepEqual(got, want) {
			t.Errorf("%d MB: %+v, want %+v", diskMB, got, want)
		}
	}
}

// TestLeaveWithin: danger: a keeper that holds the only copy is cut off though there was time, or is killed while it waits.
func TestLeaveWithin(t *testing.T) {
	for grace, want := range map[float64]time.Duration{0.1: time.Second, 1.5: time.Second, 8: 7300 * time.Millisecond} {
		if got := leaveWithin(grace); got != want {
			t.Errorf("grace of %v s: %v, want %v", grace, got, want)
		}
	}
}
