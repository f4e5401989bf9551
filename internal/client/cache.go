package client

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"gradeusher.example/gradeusher/internal/list"
	"gradeusher.example/gradeusher/internal/sealed"
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

type cached struct {
	SavedMS int64     `json:"saved_ms"` // Unix time
	List    list.List `json:"list"`
}

// Load is what was saved last, and how long ago. It tells false where there is nothing; errors tell of what was unsound, which
// is set aside.
func (c Cache) Load(now time.Time) (l list.List, age time.Duration, ok bool, err error) {
	if c.path == "" {
		return l, 0, false, nil
	}
	text, err := os.ReadFile(c.path)
	if errors.Is(err, os.ErrNotExist) {
		return l, 0, false, nil
	}
	if err != nil {
		return l, 0, false, fmt.Errorf("cache: %w", err)
	}
	body, err := cacheKind.Open(text)
	var v cached
	if err == nil {
		if err = json.Unmarshal(body, &v); err == nil {
			for _, t := range v.List.Targets {
				if err = t.Check(); err != nil {
					break
				}
			}
		}
	}
	if err != nil {
		aside, moved := sealed.SetAside(c.path)
		return l, 0, false, errors.Join(fmt.Errorf("cache: %w; set aside as %s", err, aside), moved)
	}
	return v.List, max(0, now.Sub(time.UnixMilli(v.SavedMS))), true, nil
}

// Save replaces what was saved.
func (c Cache) Save(l list.List, now time.Time) error {
	if c.path == "" {
		return nil
	}
	body, err := json.Marshal(cached{now.UnixMilli(), l})
	if err != nil {
		return fmt.Errorf("cache: %w", err)
	}
	if err := sealed.WriteFile(c.path, cacheKind.Seal(body)); err != nil {
		return fmt.Errorf("cache: %w", err)
	}
	return nil
}
