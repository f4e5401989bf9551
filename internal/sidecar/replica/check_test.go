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

// sum is a machine that keeps what it was told.
type sum struct{ text []byte }

func (s *sum) Apply(c []byte) any        { s.text = append(s.text, c...); return len(s.text) }
func (s *sum) Snapshot() ([]byte, error) { return append([]byte(nil), s.text...), nil }
func (s *sum) Restore(r io.Reader) (err error) {
	s.text, err = io.ReadAll(r)
	return err
}

func open(t *testing.T, folder string, m Machine) *Replica {
	t.Helper()
	led := make(chan bool, 1)
	r, err := Open(Options{Name: "k1", Folder: folder, Bind: "127.0.0.1:0", Peers: []Peer{{Name: "k1", Address: "127.0.0.1:0"}}, Machine: m,
		Timing: Timing{Heartbeat: 60 * time.Millisecond, Trailing: 1}, Log: slog.New(slog.DiscardHandler),
		OnLeader: func(ctx context.Context) { led <- true; <-ctx.Done() }})
	if err != nil {
		t.Fatal(err)
	}
	<-led
	return r
}

// TestCheck keeps a log and snapshots, takes them up again, and then cuts off each file anywhere: what remains is found unsound,
// never taken up.
func TestCheck(t *testing.T) {
	folder := t.TempDir()
	if err := Check(folder); err != nil {
		t.Errorf("nothing was kept: %v", err)
	}
	for round := range 2 {
		m := &sum{}
		r := open(t, folder, m)
		if want := 200 * round; len(m.text) != want {
			t.Fatalf("%d of %d bytes were taken up", len(m.text), want)
		}
		for range 200 {
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
	if err := Check(folder); err != nil {
		t.Fatalf("a whole store: %v", err)
	}
	snapshots, err := filepath.Glob(filepath.Join(folder, "snapshots", "*", "*"))
	if err != nil || len(snapshots) < 4 {
		t.Fatalf("%v, %v", snapshots, err)
	}
	for _, path := range append(snapshots, filepath.Join(folder, logFile)) {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, part := range []int{0, 1, len(text) / 3, len(text) / 2} {
			if err := os.WriteFile(path, text[:part], 0o600); err != nil {
				t.Fatal(err)
			}
			if err := Check(folder); !errors.Is(err, ErrCorrupt) {
				t.Errorf("%d of %d bytes of %s: %v", part, len(text), filepath.Base(path), err)
			}
		}
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.RemoveAll(filepath.Join(folder, "snapshots")); err != nil {
		t.Fatal(err)
	}
	if err := Check(folder); !errors.Is(err, ErrCorrupt) {
		t.Errorf("a log without the snapshot that it goes on from: %v", err)
	}
}

// newLog is a log of real entries, deleted in part, as text; path is where Check looks for it.
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
	if err := Check(folder); err != nil { // which has the library write its list of free pages anew
		t.Fatalf("the whole log: %v", err)
	}
	if text, err = os.ReadFile(path); err != nil {
		t.Fatal(err)
	}
	return folder, path, text
}

// TestCheckTruncated cuts a log off at each page and in the midst of each: what is left of what was in use is unsound, and to look at it
// ends no process, though the library maps more than is there.
func TestCheckTruncated(t *testing.T) {
	folder, path, text := newLog(t)
	used := inUse(t, path)
	half := os.Getpagesize() / 2
	cuts := 0
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
			cuts++
		}
	}
	if cuts < 10 {
		t.Errorf("only %d cuts", cuts)
	}
}

// TestCheckOverwritten has each page of a log hold nothing, or foreign bytes, as after a write that never came to the disk: that too
// ends no process, and nothing is taken for sound that lacks a page in use.
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

// TestCheckWhileRead has another process read the log meanwhile, which lets in readers but no writer: that does not make it unsound.
func TestCheckWhileRead(t *testing.T) {
	folder, path, _ := newLog(t)
	view(t, path, func(*bbolt.Tx) error {
		if err := Check(folder); !errors.Is(err, bolterrors.ErrTimeout) || errors.Is(err, ErrCorrupt) {
			t.Errorf("a log that is being read: %v", err)
		}
		return nil
	})
}

func view(t *testing.T, path string, look func(*bbolt.Tx) error) {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true, PreLoadFreelist: true})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	if err := db.View(look); err != nil {
		t.Fatal(err)
	}
}

func inUse(t *testing.T, path string) (size int) {
	t.Helper()
	view(t, path, func(tx *bbolt.Tx) error {
		size = int(tx.Size())
		return nil
	})
	return size
}

// freePages are those whose content means nothing.
func freePages(t *testing.T, path string) map[int]bool {
	t.Helper()
	free := map[int]bool{}
	view(t, path, func(tx *bbolt.Tx) error {
		for i := 0; ; i++ {
			p, err := tx.Page(i)
			if err != nil || p == nil {
				return err
			}
			free[i] = p.Type == "free"
		}
	})
	return free
}
