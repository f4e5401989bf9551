package rotation

import (
	"testing"

	"gradeusher.example/gradeusher/internal/system/config"
)

// turns returns the names of the services that are due in n turns.
func turns(r *Rotation, n int) (names string) {
	for range n {
		names += r.Shares()[r.Next()].Service
	}
	return names
}

func TestNext(t *testing.T) {
	for _, c := range []struct {
		name   string
		shares []config.Share
		want   string
	}{
		{"interleaved", []config.Share{{Service: "a", Weight: 5}, {Service: "b", Weight: 1}, {Service: "c", Weight: 1}}, "aabacaa"},
		{"equal", []config.Share{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}, "abab"},
		{"without a weight", []config.Share{{Service: "a"}, {Service: "b"}}, "aa"},
		{"one without a weight", []config.Share{{Service: "a"}, {Service: "b", Weight: 2}}, "bb"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := turns(New(c.shares), len(c.want)); got != c.want {
				t.Errorf("turns %s, want %s", got, c.want)
			}
		})
	}
}

// TestUpdateKeepsTurns replaces a configuration: a route with the same shares continues, one with
// different shares starts over, and the rotation of a route of the previous configuration is not kept.
func TestUpdateKeepsTurns(t *testing.T) {
	shares := []config.Share{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}
	first, second := &config.Route{Host: "h", Shares: shares}, &config.Route{Host: "h", Shares: shares}
	var table Table
	table.Update([]*config.Route{first})
	turns(table.ForRoute(first), 1)
	table.Update([]*config.Route{second})
	if got := turns(table.ForRoute(second), 1); got != "b" {
		t.Errorf("service %s is due after an update without changes, want b", got)
	}
	replaced := table.ForRoute(first)
	if replaced == table.ForRoute(first) {
		t.Error("the rotation of a route from the replaced configuration was kept")
	}
	third := &config.Route{Host: "h", Shares: append([]config.Share{{Service: "c", Weight: 1}}, shares...)}
	table.Update([]*config.Route{third})
	if got := turns(table.ForRoute(third), 1); got != "c" {
		t.Errorf("service %s is due after the shares have changed, want c", got)
	}
}
