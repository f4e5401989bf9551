package testcluster

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/lab/link"
)

// TestLinksAddFaults checks that a link has the sum of its base and all faults, and loses each fault when that is healed.
func TestLinksAddFaults(t *testing.T) {
	links := NewLinks(30*time.Millisecond, time.Millisecond)
	near, far := links.linkFor(Path{"a", "b"}, false), links.linkFor(Path{"a", "c"}, true)
	all := func(Path) bool { return true }
	expect := func(what string, l *link.Link, want link.State) {
		t.Helper()
		if s, _ := l.State(); s != want {
			t.Errorf("%s: %+v, want %+v", what, s, want)
		}
	}
	length := link.State{Delay: 30 * time.Millisecond, Jitter: time.Millisecond}
	expect("near", near, link.State{})
	expect("far", far, length)
	healSlow := links.Inject(all, link.State{Delay: 10 * time.Millisecond})
	healCut := links.Inject(func(p Path) bool { return p.To == "c" }, link.State{Hold: [2]bool{link.ToFar: true}})
	expect("near, slow", near, link.State{Delay: 10 * time.Millisecond})
	expect("far, slow and cut", far, link.State{Delay: 40 * time.Millisecond, Jitter: time.Millisecond, Hold: [2]bool{link.ToFar: true}})
	healSlow()
	expect("far, cut", far, link.State{Delay: 30 * time.Millisecond, Jitter: time.Millisecond, Hold: [2]bool{link.ToFar: true}})
	healCut()
	expect("far, healed", far, length)
	expect("near, healed", near, link.State{})
}

// TestLinksHaveSeparatePaths checks that all processes call control-plane nodes, and proxies call each other, each over a link of its own.
func TestLinksHaveSeparatePaths(t *testing.T) {
	scene := SmallScenario(1)
	ports, err := FreePorts(scene.Machines)
	if err != nil {
		t.Fatal(err)
	}
	n := NewLinks(0, 0)
	f := &Fleet{Machines: scene.Machines, Ports: ports, Links: n}
	lists, err := n.connect(f, "127.0.0.1:1")
	defer n.close()
	if err != nil {
		t.Fatal(err)
	}
	machines := len(scene.Machines)
	if want := machines + machines*(2*machines-1) + machines*(machines-1); len(n.active) != want || len(lists) != machines {
		t.Errorf("%d paths, want %d; %d lists", len(n.active), want, len(lists))
	}
	seen := map[int]bool{}
	for _, e := range f.endpoints() {
		if first, last := f.portsOf(e.name); seen[first] || first < ports.First || last > ports.Last || last < first {
			t.Errorf("%s has ports %d to %d of %+v", e.name, first, last, ports)
		} else {
			seen[first] = true
		}
	}
}
