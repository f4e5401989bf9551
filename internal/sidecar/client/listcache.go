package client

import (
	"fmt"
	"path/filepath"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/list"
	"gradeusher.example/gradeusher/internal/sidecar/sealed"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// ListCache keeps the last good list in a file, for the next process.
type ListCache struct{ path string }

// NewListCache keeps it in a folder, for a client of a name. No folder: nothing is kept.
func NewListCache(folder, name string) ListCache {
	if folder == "" {
		return ListCache{}
	}
	return ListCache{filepath.Join(folder, "list-"+name+".cache")}
}

var listCacheKind = sealed.Kind{Magic: "gradeusher-list", Form: 1, Needs: 1}

// maxCachedListBytes is bytes of a saved list: under 2 KiB for each server that keepers take, with names that JSON escapes, and twice as
// many servers, as what a list that shrank lacks is held until that is sure.
const maxCachedListBytes = 2 * state.MaxServers * 2048

type cachedList struct {
	SavedMS int64     `json:"saved_ms"` // Unix time
	List    list.List `json:"list"`
}

func (c ListCache) cell() sealed.Cell[cachedList] {
	return sealed.Cell[cachedList]{Path: c.path, Kind: listCacheKind, Most: maxCachedListBytes, Check: func(v cachedList) error {
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
func (c ListCache) Load(now time.Time) (l list.List, age time.Duration, ok bool, err error) {
	v, ok, err := c.cell().Load()
	if !ok {
		return l, 0, false, cacheError(err)
	}
	return v.List, max(0, now.Sub(time.UnixMilli(v.SavedMS))), true, nil
}

// Save replaces what was saved.
func (c ListCache) Save(l list.List, now time.Time) error {
	return cacheError(c.cell().Save(cachedList{now.UnixMilli(), l}))
}

// cacheError says where an error came from; nil stays nil.
func cacheError(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("cache: %w", err)
}
