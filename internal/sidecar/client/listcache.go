package client

import (
	"fmt"
	"path/filepath"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/list"
	"gradeusher.example/gradeusher/internal/sidecar/sealed"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// ListCache saves the last good list in a file, for the next process.
type ListCache struct{ path string }

// NewListCache returns the cache of a client of a name in a folder. Without a folder nothing is saved.
func NewListCache(folder, name string) ListCache {
	if folder == "" {
		return ListCache{}
	}
	return ListCache{filepath.Join(folder, "list-"+name+".cache")}
}

var listCacheKind = sealed.Kind{Magic: "gradeusher-list", FormatVersion: 1, MinReaderVersion: 1}

// maxCachedListBytes allows under 2 KiB for each server that the registry takes, with names that JSON escapes, and twice as many servers, because
// a Reader has what a list that shrank lacks until that is confirmed.
const maxCachedListBytes = 2 * state.MaxServers * 2048

// cachedList is the content of the file. Its JSON names are stored data and never change.
type cachedList struct {
	SavedMS int64     `json:"saved_ms"` // Unix time
	List    list.List `json:"list"`
}

func (c cachedList) check() error {
	for _, target := range c.List.Targets {
		if err := target.Check(); err != nil {
			return err
		}
	}
	return nil
}

func (c ListCache) cell() sealed.Cell[cachedList] {
	return sealed.Cell[cachedList]{Path: c.path, Kind: listCacheKind, MaxBytes: maxCachedListBytes, Check: cachedList.check}
}

// Load returns the list that was saved last and its age, and whether there is one. An error is that of a corrupt file, which is quarantined, or of
// one that cannot be read.
func (c ListCache) Load(now time.Time) (saved list.List, age time.Duration, found bool, err error) {
	content, found, err := c.cell().Load()
	if !found {
		return list.List{}, 0, false, cacheError(err)
	}
	return content.List, max(0, now.Sub(time.UnixMilli(content.SavedMS))), true, nil
}

// Save replaces what was saved.
func (c ListCache) Save(l list.List, now time.Time) error {
	return cacheError(c.cell().Save(cachedList{now.UnixMilli(), l}))
}

// cacheError says that an error is of a cache; nil stays nil.
func cacheError(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("cache: %w", err)
}
