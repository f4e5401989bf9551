package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/sealed"
)

const (
	followInterval   = 100 * time.Millisecond // how often a process checks whether another one has changed the file
	maxHandoverBytes = 1 << 20                // size of the file
)

// handover stores what must outlive a process: the ids of the servers that operators have taken out
// of service. Processes of one sidecar that run at the same time share it.
type handover struct {
	path string // "": there is no shared directory, and the ids are lost with the process
	log  *slog.Logger

	mu        sync.Mutex
	ids       []string
	seen      os.FileInfo // the version of the file that ids was read from; nil: none
	lastError string      // the last error in reading the file
}

// handoverJSON is the format of the file.
type handoverJSON struct {
	Out []string `json:"out"`
}

// newHandover reads the file of the named sidecar in dir. A file that cannot be read counts as empty.
func newHandover(dir, name string, log *slog.Logger) *handover {
	f := &handover{log: log}
	if dir != "" {
		f.path = filepath.Join(dir, "gradeusher-"+url.PathEscape(name)+".json")
		f.reload()
	}
	return f
}

// reload reads the file if it has changed since it was last read, and reports whether the ids were replaced.
func (f *handover) reload() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	info, err := os.Stat(f.path)
	if f.path == "" || errors.Is(err, fs.ErrNotExist) {
		return false // the file is never deleted, so it was never written
	}
	if err == nil && f.seen != nil && os.SameFile(info, f.seen) && info.ModTime().Equal(f.seen.ModTime()) && info.Size() == f.seen.Size() {
		return false
	}
	ids, read := f.read()
	f.seen = info
	if err = errors.Join(err, read); err != nil {
		if f.lastError != err.Error() { // logged once, not ten times a second
			f.lastError = err.Error()
			f.log.Warn("handover: cannot read the file", "err", err)
		}
		return false
	}
	f.ids, f.lastError = ids, ""
	return true
}

func (f *handover) read() ([]string, error) {
	text, err := sealed.ReadFile(f.path, maxHandoverBytes)
	if err != nil {
		return nil, err
	}
	var stored handoverJSON
	if err := json.Unmarshal(text, &stored); err != nil {
		return nil, fmt.Errorf("%s: %w", f.path, err)
	}
	return stored.Out, nil
}

// out returns the ids of the servers that are out of service.
func (f *handover) out() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.ids)
}

// set takes a server out of service or puts it back. After an error, only this process knows of the change.
func (f *handover) set(id string, out bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	change := func(ids []string) []string {
		ids = slices.DeleteFunc(slices.Clone(ids), func(other string) bool { return other == id })
		if out {
			ids = append(ids, id)
		}
		return ids
	}
	ids := f.ids
	f.ids = change(ids)
	if f.path == "" {
		return nil
	}
	// Without the lock, two processes that change the file at the same time could undo each other's change.
	return sealed.WithLock(f.path, true, func() error {
		if now, err := f.read(); err == nil {
			ids = now
		}
		f.ids = change(ids)
		text, err := json.Marshal(handoverJSON{Out: f.ids})
		if err == nil {
			err = sealed.WriteFile(f.path, append(text, '\n'))
		}
		if err == nil {
			f.seen, err = os.Stat(f.path)
		}
		return err
	})
}

// follow calls changed each time that another process has changed the file, until ctx is done.
func (f *handover) follow(ctx context.Context, changed func()) {
	tick := time.NewTicker(followInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if f.reload() {
				changed()
			}
		case <-ctx.Done():
			return
		}
	}
}
