package replica

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

// textMachine is a machine whose state is all commands one after the other.
type textMachine struct{ text []byte }

func (m *textMachine) Apply(command []byte) any {
	m.text = append(m.text, command...)
	return len(m.text)
}

func (m *textMachine) Snapshot() ([]byte, error) { return bytes.Clone(m.text), nil }

func (m *textMachine) Restore(from io.Reader) (err error) {
	m.text, err = io.ReadAll(from)
	return err
}

// openAsLeader opens the only member of a cluster, and returns once it leads.
func openAsLeader(t *testing.T, folder string, m Machine) *Replica {
	t.Helper()
	leads := make(chan bool, 1)
	r, err := Open(Options{
		Name:    "k1",
		Folder:  folder,
		Bind:    "127.0.0.1:0",
		Peers:   []Peer{{Name: "k1", Address: "127.0.0.1:0"}},
		Machine: m,
		Timing:  Timing{Heartbeat: 60 * time.Millisecond, Trailing: 1},
		Log:     slog.New(slog.DiscardHandler),
		OnLeader: func(ctx context.Context) {
			leads <- true
			<-ctx.Done()
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	<-leads
	return r
}

const commandsPerRound = 200

// writeRound opens a store that has the commands of some rounds, writes those of another one and takes a snapshot.
func writeRound(t *testing.T, folder string, rounds int) {
	t.Helper()
	m := &textMachine{}
	r := openAsLeader(t, folder, m)
	if want := commandsPerRound * rounds; len(m.text) != want {
		t.Fatalf("%d of %d bytes were restored", len(m.text), want)
	}
	for range commandsPerRound {
		if _, err := r.Propose(t.Context(), []byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	if err := r.TakeSnapshot(); err != nil {
		t.Fatal(err)
	}
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := r.Propose(t.Context(), []byte("x")); !errors.Is(err, ErrNotLeader) {
		t.Errorf("after its end: %v", err)
	}
}

// TestCheck writes a log and snapshots, opens them again, and then truncates each file anywhere: what remains is found corrupt.
func TestCheck(t *testing.T) {
	folder := t.TempDir()
	if err := Check(folder); err != nil {
		t.Errorf("nothing was stored: %v", err)
	}
	for round := range 2 {
		writeRound(t, folder, round)
	}
	if err := Check(folder); err != nil {
		t.Fatalf("a complete store: %v", err)
	}
	snapshots, err := filepath.Glob(filepath.Join(folder, "snapshots", "*", "*"))
	if err != nil || len(snapshots) < 4 {
		t.Fatalf("%v, %v", snapshots, err)
	}
	for _, path := range append(snapshots, filepath.Join(folder, logFile)) {
		checkTruncations(t, folder, path)
	}
	if err := os.RemoveAll(filepath.Join(folder, "snapshots")); err != nil {
		t.Fatal(err)
	}
	if err := Check(folder); !errors.Is(err, ErrCorrupt) {
		t.Errorf("a log without the snapshot that it goes on from: %v", err)
	}
}

// checkTruncations truncates a file of a store at several sizes, and then writes it as it was.
func checkTruncations(t *testing.T, folder, path string) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, size := range []int{0, 1, len(text) / 3, len(text) / 2} {
		if err := os.WriteFile(path, text[:size], 0o600); err != nil {
			t.Fatal(err)
		}
		if err := Check(folder); !errors.Is(err, ErrCorrupt) {
			t.Errorf("%d of %d bytes of %s: %v", size, len(text), filepath.Base(path), err)
		}
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// newLog writes a log with entries, some of which were deleted, and returns its content; path is where Check expects it.
func newLog(t *testing.T) (folder, path string, text []byte) {
	t.Helper()
	folder = t.TempDir()
	path = filepath.Join(folder, logFile)
	store, err := raftboltdb.New(raftboltdb.Options{Path: path, NoSync: true})
	if err != nil {
		t.Fatal(err)
	}
	for i := range uint64(150) {
		if err := store.StoreLog(&raft.Log{Index: i + 1, Term: 1, Data: make([]byte, 700)}); err != nil {
			t.Fatal(err)
		}
	}
	if err := store.DeleteRange(100, 120); err != nil {
		t.Fatal(err)
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
	if err := Check(folder); err != nil { // which has bbolt write its list of free pages anew
		t.Fatalf("the complete log: %v", err)
	}
	if text, err = os.ReadFile(path); err != nil {
		t.Fatal(err)
	}
	return folder, path, text
}

// TestCheckTruncated truncates a log at each page and in the middle of each: where pages in use are missing it is corrupt, and to check it ends no
// process, though bbolt maps more than is there.
func TestCheckTruncated(t *testing.T) {
	folder, path, text := newLog(t)
	used := inUse(t, path)
	half := os.Getpagesize() / 2
	truncations := 0
	for size := len(text) - half; size >= 0; size -= half {
		if err := os.WriteFile(path, text[:size], 0o600); err != nil {
			t.Fatal(err)
		}
		switch err := Check(folder); {
		case size < used && !errors.Is(err, ErrCorrupt):
			t.Errorf("%d of %d bytes in use: %v", size, used, err)
		case size >= used && err != nil:
			t.Errorf("%d bytes, all of the %d in use: %v", size, used, err)
		}
		if size < used {
			truncations++
		}
	}
	if truncations < 10 {
		t.Errorf("only %d truncations", truncations)
	}
}

// TestCheckOverwritten overwrites each page of a log with zeros or other bytes, as after a write that never reached the disk: that too ends no process,
// and a log that lacks a page in use is found corrupt.
func TestCheckOverwritten(t *testing.T) {
	folder, path, text := newLog(t)
	page := os.Getpagesize()
	free := freePages(t, path)
	for _, fill := range []byte{0, 0xff, 0x01} {
		for at := 0; at < inUse(t, path); at += page {
			other := bytes.Clone(text)
			copy(other[at:], bytes.Repeat([]byte{fill}, page))
			if err := os.WriteFile(path, other, 0o600); err != nil {
				t.Fatal(err)
			}
			if err := Check(folder); !errors.Is(err, ErrCorrupt) && !free[at/page] {
				t.Errorf("page %d filled with %#x: %v", at/page, fill, err)
			}
			if err := os.WriteFile(path, text, 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// TestCheckWhileRead has another process read the log meanwhile, which admits readers but no writer: that does not make the log corrupt.
func TestCheckWhileRead(t *testing.T) {
	folder, path, _ := newLog(t)
	view(t, path, func(*bbolt.Tx) error {
		if err := Check(folder); !errors.Is(err, bolterrors.ErrTimeout) || errors.Is(err, ErrCorrupt) {
			t.Errorf("a log that is being read: %v", err)
		}
		return nil
	})
}

// view calls visit with a read transaction of a log.
func view(t *testing.T, path string, visit func(*bbolt.Tx) error) {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true, PreLoadFreelist: true})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = db.Close() }()
	if err := db.View(visit); err != nil {
		t.Fatal(err)
	}
}

// inUse returns the size of the pages in use.
func inUse(t *testing.T, path string) (size int) {
	t.Helper()
	view(t, path, func(tx *bbolt.Tx) error {
		size = int(tx.Size())
		return nil
	})
	return size
}

// freePages returns the numbers of the pages whose content has no meaning.
func freePages(t *testing.T, path string) map[int]bool {
	t.Helper()
	free := map[int]bool{}
	view(t, path, func(tx *bbolt.Tx) error {
		for i := 0; ; i++ {
			page, err := tx.Page(i)
			if err != nil || page == nil {
				return err
			}
			free[i] = page.Type == "free"
		}
	})
	return free
}
