package client

import (
	"os"
	"reflect"
	"testing"
	"time"
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
