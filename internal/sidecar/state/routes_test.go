package state

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"gradeusher.example/gradeusher/balance/routes"
	"gradeusher.example/gradeusher/internal/sidecar/sealed"
)

// table has a rule of each name, in order, whose weight is the number behind it.
func table(words ...string) routes.Table {
	t := routes.Table{}
	for _, w := range words {
		t = append(t, routes.Rule{Name: w[:1], Source: routes.Match{"service": "*"}, Service: routes.Match{"service": "*"},
			Destinations: []routes.Destination{{Weight: float64(w[1] - '0'), Match: routes.Match{"version": "x"}}}})
	}
	return t
}

// fataler is *testing.T or *rapid.T.
type fataler interface {
	Helper()
	Fatal(args ...any)
}

func mustSnapshot(t fataler, m *Machine) []byte {
	t.Helper()
	text, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// reread returns the machine that a reader of the snapshot has. Its own snapshot must be the same.
func reread(t fataler, m *Machine) *Machine {
	t.Helper()
	text := mustSnapshot(t, m)
	copied, err := ReadSnapshot(bytes.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(mustSnapshot(t, copied), text) {
		t.Fatal("a snapshot that is read and written differs")
	}
	return copied
}

// TestRoutesHistory makes more generations than the history has room for, by number and by bytes.
func TestRoutesHistory(t *testing.T) {
	machine := New()
	for i := range MaxGenerations + 10 {
		machine.Apply(Command{Op: SetRoutes, Rules: table(fmt.Sprintf("a%d", 1+i%2))})
	}
	if machine.Generation() != MaxGenerations+10 || machine.OldestGeneration() != 10 {
		t.Errorf("generations %d to %d are known", machine.OldestGeneration(), machine.Generation())
	}
	if got, ok := machine.RoutesAt(10); !ok || len(routes.Diff(got, table("a2"))) != 0 {
		t.Errorf("the oldest is %v, %v", got, ok)
	}
	reread(t, machine)
	machine, wide := New(), make(routes.Table, 5000)
	for i := range 40 {
		for j := range wide {
			wide[j] = table(fmt.Sprintf("a%d", 1+i%2))[0]
			wide[j].Name = fmt.Sprint("rule-", j)
		}
		if r := machine.Apply(Command{Op: SetRoutes, Rules: wide}); r.Err != nil {
			t.Fatal(r.Err)
		}
	}
	if n := machine.Generation() - machine.OldestGeneration(); n < 2 || n > 20 || machine.routing.stepBytes > MaxRouteHistoryBytes {
		t.Errorf("the history has %d steps of %d bytes", n, machine.routing.stepBytes)
	}
}

// TestRoutesForms reads a snapshot of a version without routes, writes one that such a version reads where there are none, and
// refuses inconsistent snapshots.
func TestRoutesForms(t *testing.T) {
	before := sealed.Kind{Magic: "gradeusher-state", FormatVersion: 1, MinReaderVersion: 1}
	machine := New()
	machine.Apply(Command{Op: FoundCluster, Cluster: "c"})
	text, err := machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	body, err := before.Open(text)
	if err != nil || strings.Contains(string(body), "routes") {
		t.Errorf("%s, %v", body, err)
	}
	old, err := ReadSnapshot(bytes.NewReader(before.Seal(body)))
	if err != nil || old.Generation() != 0 || old.Cluster() != "c" {
		t.Errorf("generation %d, %v", old.Generation(), err)
	}
	machine.Apply(Command{Op: SetRoutes, Rules: table("a1", "b2")})
	machine.Apply(Command{Op: SetRoutes, Rules: table("b2")})
	if text, err = machine.Snapshot(); err != nil {
		t.Fatal(err)
	}
	if _, err := before.Open(text); !errors.Is(err, sealed.ErrCorrupt) {
		t.Errorf("a version that would lose the routes reads them: %v", err)
	}
	if body, err = snapshotKind.Open(text); err != nil {
		t.Fatal(err)
	}
	for _, c := range [][2]string{{`"gen":2,"rules"`, `"gen":7,"rules"`}, {`"weight":2`, `"weight":-2`}, {`"gen":1,"back"`, `"gen":4,"back"`}} {
		change, to := c[0], c[1]
		wrong := strings.Replace(string(body), change, to, 1)
		if wrong == string(body) {
			t.Fatalf("no %s in %s", change, body)
		}
		if _, err := ReadSnapshot(bytes.NewReader(snapshotKind.Seal([]byte(wrong)))); !errors.Is(err, sealed.ErrCorrupt) {
			t.Errorf("%s is read: %v", to, err)
		}
	}
}
