package client

import (
	"errors"
	"fmt"
	"os"
	"reflect"
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

// TestCache saves a list and reads it back with its age; every torn or changed file is set aside, and the next save works.
func TestCache(t *testing.T) {
	folder := t.TempDir()
	c := NewCache(folder, "n1")
	now := time.UnixMilli(1_700_000_000_000)
	if _, _, ok, err := c.Load(now); ok || err != nil {
		t.Errorf("nothing was saved: %v, %v", ok, err)
	}
	want := whole(7, 0, 1, 2)
	if err := c.Save(want, now); err != nil {
		t.Fatal(err)
	}
	got, age, ok, err := c.Load(now.Add(90 * time.Second))
	if err != nil || !ok || age != 90*time.Second || !reflect.DeepEqual(got, want) {
		t.Errorf("loaded %+v, %v, %v, %v", got, age, ok, err)
	}
	text, err := os.ReadFile(c.path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range len(text) * 2 {
		torn := text[:i/2]
		if i%2 == 1 {
			torn = append([]byte(nil), text...)
			torn[i/2] ^= 0x10
		}
		if err := os.WriteFile(c.path, torn, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, ok, err := c.Load(now); ok || err == nil {
			t.Fatalf("%q was read", torn)
		}
		if _, err := os.Stat(c.path + ".unsound"); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.Save(want, now); err != nil {
		t.Fatal(err)
	}
	if _, _, ok, err := c.Load(now); !ok || err != nil {
		t.Errorf("after an unsound file nothing can be saved: %v", err)
	}
	if left, _ := os.ReadDir(folder); len(left) != 2 {
		t.Errorf("%d files are left, want the cache and the one set aside", len(left))
	}
}

// TestCacheBounds reads back the longest list that is held of keepers and the table that takes most as JSON, and sets a longer file aside.
func TestCacheBounds(t *testing.T) {
	now, folder, wide := time.UnixMilli(1_700_000_000_000), t.TempDir(), strings.Repeat("<", list.MaxNameBytes)
	c, l, size := NewCache(folder, "n"), list.List{Rev: 1, All: true}, 2.2250738585072014e-308
	for i := range 2 * state.MostServers {
		l.Targets = append(l.Targets, list.Target{UID: fmt.Sprintf("%0*d", list.MaxNameBytes, i), Endpoint: "[2001:db8:1111:2222:3333:4444:5555:6666]:65535", Zone: wide, Model: wide,
			PodGroup: 1 << 30, State: list.Draining, Capacity: &size, BootMS: 1 << 44})
	}
	if err := c.Save(l, now); err != nil {
		t.Fatal(err)
	}
	if got, _, ok, err := c.Load(now); !ok || err != nil || len(got.Targets) != len(l.Targets) {
		t.Fatalf("%d servers, %t, %v", len(got.Targets), ok, err)
	}
	if err := os.Truncate(c.path, mostCached+1); err != nil {
		t.Fatal(err)
	}
	if _, _, ok, err := c.Load(now); ok || !errors.Is(err, sealed.ErrUnsound) || !strings.HasPrefix(err.Error(), "cache: ") {
		t.Errorf("too long: %t, %v", ok, err)
	}

	odd := routes.Match{strings.Repeat("\x01", routes.MaxTextBytes): strings.Repeat("<", routes.MaxTextBytes)}
	rules := make(routes.Table, 8192) // more than fit
	for i := range rules {
		rules[i] = routes.Rule{Name: strconv.Itoa(i), Source: odd, Service: routes.Match{"service": ""}, Destinations: []routes.Destination{{Match: odd, Weight: 1}}}
	}
	rules = rules[:sort.Search(len(rules), func(n int) bool { return rules[:n+1].Check() != nil })].Canonical()
	r := NewRouteCache(folder, "n")
	if err := r.Save(Held{Gen: 1, Hash: rules.Hash(), Rules: rules}, "", now); err != nil {
		t.Fatal(err)
	}
	if got, _, ok, err := r.Load("", now); !ok || err != nil || len(got.Rules) != len(rules) || len(rules) == 8192 {
		t.Errorf("%d rules of %d, %t, %v", len(got.Rules), len(rules), ok, err)
	}
}
