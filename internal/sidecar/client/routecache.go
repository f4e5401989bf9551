package client

import (
	"fmt"
	"path/filepath"
	"time"

	"gradeusher.example/gradeusher/balance/routes"
	"gradeusher.example/gradeusher/internal/sidecar/sealed"
)

// RouteCache saves the last good route table in a file, for the next process.
type RouteCache struct{ path string }

// NewRouteCache returns the cache of a client of a name in a folder. Without a folder nothing is saved.
func NewRouteCache(folder, name string) RouteCache {
	if folder == "" {
		return RouteCache{}
	}
	return RouteCache{filepath.Join(folder, "routes-"+name+".cache")}
}

var routeCacheKind = sealed.Kind{Magic: "gradeusher-routes", FormatVersion: 1, MinReaderVersion: 1}

// maxCachedRoutesBytes allows the up to 6 bytes that JSON takes for each byte that routes.MaxTableBytes counts, as in an escape; the rest is for the
// filter.
const maxCachedRoutesBytes = 8 * routes.MaxTableBytes

// cachedRoutes is the content of the file. Its JSON names are stored data and never change.
type cachedRoutes struct {
	SavedMS int64      `json:"saved_ms"` // Unix time
	Filter  string     `json:"cut"`      // of the call, as RouteFilter returns it
	Routes  RouteState `json:"held"`
}

func (c cachedRoutes) check() error {
	if got := c.Routes.Rules.Hash(); got != c.Routes.Hash {
		return fmt.Errorf("%w: %s, not %s", ErrMismatch, got, c.Routes.Hash)
	}
	return c.Routes.Rules.Check()
}

func (c RouteCache) cell() sealed.Cell[cachedRoutes] {
	return sealed.Cell[cachedRoutes]{Path: c.path, Kind: routeCacheKind, MaxBytes: maxCachedRoutesBytes, Check: cachedRoutes.check}
}

// Load returns what was saved last for a filter and its age, and whether there is something: a table that was filtered for another client lacks
// rules. An error is that of a corrupt file, which is quarantined, or of one that cannot be read.
func (c RouteCache) Load(filter string, now time.Time) (saved RouteState, age time.Duration, found bool, err error) {
	content, found, err := c.cell().Load()
	if !found || content.Filter != filter {
		return RouteState{Generation: -1}, 0, false, cacheError(err)
	}
	return content.Routes, max(0, now.Sub(time.UnixMilli(content.SavedMS))), true, nil
}

// Save replaces what was saved.
func (c RouteCache) Save(saved RouteState, filter string, now time.Time) error {
	return cacheError(c.cell().Save(cachedRoutes{now.UnixMilli(), filter, saved}))
}
