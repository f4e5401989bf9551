package state

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

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

func reread(t interface{ Fatal(...any) }, m *Machine) *Machine {
	text, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	n, err := ReadSnapshot(bytes.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	if second, err := n.Snapshot(); err != nil || !bytes.Equal(second, text) {
		t.Fatal("a snapshot that is read and written differs", err)
	}
	return n
}

// TestRoutesModel puts drawn tables, sound and not, with drawn expectations, over snapshots and backups. Every generation in
// the history is the table that made it, and no number is ever that of two tables.
func TestRoutesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		all := map[int64]string{0: table().Hash()} // every generation there ever was
		known, backup := 0, New()
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				m = reread(t, m)
			case 1:
				backup = reread(t, m)
			case 2:
				floor := m.Generation() + 1
				m = reread(t, backup)
				m.RaiseRevision(floor)
				if _, reused := all[m.Generation()]; reused {
					t.Fatalf("a backup is taken up at generation %d, which was there", m.Generation())
				}
				all[m.Generation()], known = m.routing.table.Hash(), 0
			default:
				words := rapid.SliceOfN(rapid.SampledFrom([]string{"a1", "a2", "b1", "b2", "c1", "c2", "c0"}), 0, 4).Draw(t, "rules")
				want := table(words...)
				c := Command{Op: SetRoutes, Rules: want}
				gen := m.Generation()
				fits, sound := true, want.Check() == nil
				if sound && rapid.Bool().Draw(t, "as ops") {
					base := gen - int64(rapid.IntRange(0, 1).Draw(t, "old base"))
					c = Command{Op: SetRoutes, Base: &base, Ops: routes.Diff(m.routing.table, want.Canonical())}
					fits = base == gen
				}
				if rapid.Bool().Draw(t, "expects") {
					expect := gen + int64(rapid.IntRange(-1, 1).Draw(t, "off"))
					c.Expect, fits = &expect, fits && expect == gen
				}
				r := m.Apply(c)
				news := fits && sound && want.Hash() != all[gen]
				if (r.Err == nil) != (fits && sound) || r.RoutesChanged != news || m.Generation() != r.Generation || (r.Generation != gen) != news {
					t.Fatalf("%v at %d: %+v", words, gen, r)
				}
				if !fits && r.Err.Code != Conflict || fits && !sound && r.Err.Code != Invalid {
					t.Fatalf("%v at %d is refused as %v", words, gen, r.Err)
				}
				if news {
					if _, reused := all[r.Generation]; reused {
						t.Fatalf("generation %d is made twice", r.Generation)
					}
					all[r.Generation] = want.Hash()
					known++
				}
			}
			if m.OldestGeneration() != m.Generation()-int64(known) {
				t.Fatalf("generations %d to %d are known, want %d of them", m.OldestGeneration(), m.Generation(), known)
			}
			for g := m.OldestGeneration() - 1; g <= m.Generation()+1; g++ {
				got, ok := m.RoutesAt(g)
				if ok != (g >= m.OldestGeneration() && g <= m.Generation()) || ok && got.Hash() != all[g] {
					t.Fatalf("generation %d is %v, %v", g, got, ok)
				}
			}
		}
	})
}

// TestRoutesHistory makes more generations than are kept, by number and by bytes.
func TestRoutesHistory(t *testing.T) {
	m := New()
	for i := range MaxGenerations + 10 {
		m.Apply(Command{Op: SetRoutes, Rules: table(fmt.Sprintf("a%d", 1+i%2))})
	}
	if m.Generation() != MaxGenerations+10 || m.OldestGeneration() != 10 {
		t.Errorf("generations %d to %d are known", m.OldestGeneration(), m.Generation())
	}
	if got, ok := m.RoutesAt(10); !ok || len(routes.Diff(got, table("a2"))) != 0 {
		t.Errorf("the oldest is %v, %v", got, ok)
	}
	reread(t, m)
	m, wide := New(), make(routes.Table, 5000)
	for i := range 40 {
		for j := range wide {
			wide[j] = table(fmt.Sprintf("a%d", 1+i%2))[0]
			wide[j].Name = fmt.Sprint("rule-", j)
		}
		if r := m.Apply(Command{Op: SetRoutes, Rules: wide}); r.Err != nil {
			t.Fatal(r.Err)
		}
	}
	if n := m.Generation() - m.OldestGeneration(); n < 2 || n > 20 || m.routing.stepBytes > MaxRouteHistoryBytes {
		t.Errorf("%d steps of %d bytes are kept", n, m.routing.stepBytes)
	}
}

// TestRoutesForms reads a snapshot of before there were routes, writes one that such a program reads where there are none, and
// refuses what makes no sense.
func TestRoutesForms(t *testing.T) {
	before := sealed.Kind{Magic: "gradeusher-state", Form: 1, Needs: 1}
	m := New()
	m.Apply(Command{Op: FoundCluster, Cluster: "c"})
	text, err := m.Snapshot()
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
	m.Apply(Command{Op: SetRoutes, Rules: table("a1", "b2")})
	m.Apply(Command{Op: SetRoutes, Rules: table("b2")})
	if text, err = m.Snapshot(); err != nil {
		t.Fatal(err)
	}
	if _, err := before.Open(text); !errors.Is(err, sealed.ErrUnsound) {
		t.Errorf("a program that would lose the routes reads them: %v", err)
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
		if _, err := ReadSnapshot(bytes.NewReader(snapshotKind.Seal([]byte(wrong)))); !errors.Is(err, sealed.ErrUnsound) {
			t.Errorf("%s is read: %v", to, err)
		}
	}
}
