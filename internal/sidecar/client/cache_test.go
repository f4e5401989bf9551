package client

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"gradeusher.example/gradeusher/balance/routes"
	"gradeusher.example/gradeusher/internal/sidecar/list"
	"gradeusher.example/gradeusher/internal/sidecar/sealed"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// TestListCache saves a list and reads it back with its age; every truncated or changed file is quarantined, and the next save works.
func TestListCache(t *testing.T) {
	folder := t.TempDir()
	cache := NewListCache(folder, "n1")
	now := time.UnixMilli(1_700_000_000_000)
	if _, _, found, err := cache.Load(now); found || err != nil {
		t.Errorf("nothing was saved: %v, %v", found, err)
	}
	want := completeList(7, 0, 1, 2)
	if err := cache.Save(want, now); err != nil {
		t.Fatal(err)
	}
	got, age, found, err := cache.Load(now.Add(90 * time.Second))
	if err != nil || !found || age != 90*time.Second || !reflect.DeepEqual(got, want) {
		t.Errorf("loaded %+v, %v, %v, %v", got, age, found, err)
	}
	text, err := os.ReadFile(cache.path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range text {
		wantQuarantined(t, cache, text[:i])
		changed := slices.Clone(text)
		changed[i] ^= 0x10
		wantQuarantined(t, cache, changed)
	}
	if err := cache.Save(want, now); err != nil {
		t.Fatal(err)
	}
	if _, _, found, err := cache.Load(now); !found || err != nil {
		t.Errorf("after an unsound file nothing can be saved: %v", err)
	}
	if files, _ := os.ReadDir(folder); len(files) != 2 {
		t.Errorf("%d files are left, want the cache and the quarantined one", len(files))
	}
}

// wantQuarantined has a cache load a file that is unsound.
func wantQuarantined(t *testing.T, cache ListCache, unsound []byte) {
	t.Helper()
	if err := os.WriteFile(cache.path, unsound, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, found, err := cache.Load(time.Now()); found || err == nil {
		t.Fatalf("%q was read", unsound)
	}
	if _, err := os.Stat(cache.path + ".unsound"); err != nil {
		t.Fatal(err)
	}
}

// TestListCacheBounds reads back the longest list that a reader can have, and quarantines a longer file.
func TestListCacheBounds(t *testing.T) {
	now, widest := time.Now(), strings.Repeat("<", list.MaxNameBytes) // JSON escapes it
	cache, longest, capacity := NewListCache(t.TempDir(), "n"), list.List{Rev: 1, All: true}, 2.2250738585072014e-308
	for i := range 2 * state.MaxServers {
		longest.Targets = append(longest.Targets, list.Target{
			UID:      fmt.Sprintf("%0*d", list.MaxNameBytes, i),
			Endpoint: "[2001:db8:1111:2222:3333:4444:5555:6666]:65535",
			Zone:     widest,
			Model:    widest,
			PodGroup: 1 << 30,
			State:    list.Draining,
			Capacity: &capacity,
			BootMS:   1 << 44,
		})
	}
	if err := cache.Save(longest, now); err != nil {
		t.Fatal(err)
	}
	if got, _, found, err := cache.Load(now); !found || err != nil || len(got.Targets) != len(longest.Targets) {
		t.Fatalf("%d servers, %t, %v", len(got.Targets), found, err)
	}
	if err := os.Truncate(cache.path, maxCachedListBytes+1); err != nil {
		t.Fatal(err)
	}
	if _, _, found, err := cache.Load(now); found || !errors.Is(err, sealed.ErrCorrupt) || !strings.HasPrefix(err.Error(), "cache: ") {
		t.Errorf("too long: %t, %v", found, err)
	}
}

// TestRouteCacheBounds reads back the route table that takes most as JSON.
func TestRouteCacheBounds(t *testing.T) {
	const tooMany = 8192
	match := routes.Match{strings.Repeat("\x01", routes.MaxTextBytes): strings.Repeat("<", routes.MaxTextBytes)}
	rules := make(routes.Table, tooMany)
	for i := range rules {
		rules[i] = routes.Rule{Name: strconv.Itoa(i), Source: match, Service: routes.Match{"service": ""}, Destinations: []routes.Destination{{Match: match, Weight: 1}}}
	}
	rules = rules[:sort.Search(tooMany, func(count int) bool { return rules[:count+1].Check() != nil })].Canonical()
	cache := NewRouteCache(t.TempDir(), "n")
	if err := cache.Save(RouteState{Generation: 1, Hash: rules.Hash(), Rules: rules}, "", time.Now()); err != nil {
		t.Fatal(err)
	}
	got, _, found, err := cache.Load("", time.Now())
	if !found || err != nil || len(got.Rules) != len(rules) || len(rules) == tooMany {
		t.Errorf("%d rules of %d, %t, %v", len(got.Rules), len(rules), found, err)
	}
}
