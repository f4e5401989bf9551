package client

import (
	"fmt"
	"path/filepath"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/list"
	"gradeusher.example/gradeusher/internal/sidecar/sealed"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// Cache keeps the last good list in a file, for the next process.
type Cache struct{ path string }

// NewCache keeps it in a folder, for a client of a name. No folder: nothing is kept.
func NewCache(folder, name string) Cache {
	if folder == "" {
		return Cache{}
	}
	return Cache{filepath.Join(folder, "list-"+name+".cache")}
}

var cacheKind = sealed.Kind{Magic: "gradeusher-list", Form: 1, Needs: 1}

// mostCached is bytes of a saved list: under 2 KiB for each server that keepers take, with names that JSON escapes, and twice as
// many servers, as what a list that shrank lacks is held until that is sure.
const mostCached = 2 * state.MaxServers * 2048

type cached struct {
	SavedMS int64     `json:"saved_ms"` // Unix time
	List    list.List `json:"list"`
}

func (c Cache) cell() sealed.Cell[cached] {
	return sealed.Cell[cached]{Path: c.path, Kind: cacheKind, Most: mostCached, Check: func(v cached) error {
		for _, t := range v.List.Targets {
			if err := t.Check(); err != nil {
				return err
			}
		}
		return nil
	}}
}

// Load is what was saved last, and how long ago. It tells false where there is nothing; errors tell of what was unsound, which
// is set aside.
func (c Cache) Load(now time.Time) (l list.List, age time.Duration, ok bool, err error) {
	v, ok, err := c.cell().Load()
	if !ok {
		return l, 0, false, ofCache(err)
	}
	return v.List, max(0, now.Sub(time.UnixMilli(v.SavedMS))), true, nil
}

// Save replaces what was saved.
func (c Cache) Save(l list.List, now time.Time) error {
	return ofCache(c.cell().Save(cached{now.UnixMilli(), l}))
}

// ofCache says where an error came from; nil stays nil.
func ofCache(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("cache: %w", err)
}
