package state

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"gradeusher.example/gradeusher/internal/sidecar/list"
	"gradeusher.example/gradeusher/internal/sidecar/sealed"
)

// TestRefused compares the reason of each refusal; none changes the state.
func TestRefused(t *testing.T) {
	ahead, high := int64(99), 2e6
	good := server("s-1", "10.0.0.1:80", 5, 0)
	bad := func(change func(*list.Registration)) Command {
		r := server("s-2", "10.0.0.2:80", 0, 0)
		change(&r)
		return Command{Op: Register, Servers: []list.Registration{r}}
	}
	for want, command := range map[string]Command{
		"s-2 stands twice":             {Op: Register, Servers: []list.Registration{server("s-2", "10.0.0.2:80", 0, 0), server("s-2", "10.0.0.2:80", 0, 0)}},
		"unknown state \"SLEEPING\"":   bad(func(r *list.Registration) { r.State = "SLEEPING" }),
		"registers as SERVING":         bad(func(r *list.Registration) { r.State = list.Deleted }),
		"capacity_hint 2e+06 is not":   bad(func(r *list.Registration) { r.Capacity = &high }),
		"uid is missing":               bad(func(r *list.Registration) { r.UID = "" }),
		"is no IP address and port":    bad(func(r *list.Registration) { r.Endpoint = "host:80" }),
		"lease_ms 5 is neither":        bad(func(r *list.Registration) { r.LeaseMS = 5 }),
		"boot_ms -1 is no":             bad(func(r *list.Registration) { r.BootMS = -1 }),
		"revision 99 lies ahead":       {Op: Drain, UID: "s-1", Expect: &ahead},
		"no server \"s-9\"":            {Op: Drain, UID: "s-9"},
		"unknown command \"dance\"":    {Op: "dance"},
		"a process that booted at 5":   {Op: Register, Servers: []list.Registration{server("s-1", "10.0.0.1:80", 4, 0)}},
		"the process at 10.0.0.1:80":   {Op: Register, Servers: []list.Registration{server("s-1", "10.0.0.3:80", 5, 0)}},
		"0 servers to register":        {Op: Register},
		"goes with one server, not 2":  {Op: Register, Expect: &ahead, Servers: []list.Registration{good, server("s-2", "10.0.0.2:80", 0, 0)}},
		"a keeper needs a name":        {Op: SetNode},
		"a cluster needs an id":        {Op: FoundCluster},
		"keeper k: \"\" is no address": {Op: SetNode, Node: &Node{Name: "k"}},
	} {
		t.Run(want, func(t *testing.T) {
			m := New()
			m.Apply(Command{Op: Register, Servers: []list.Registration{good}})
			before := mustSnapshot(t, m)
			result := m.Apply(command)
			if result.Err == nil || !strings.Contains(result.Err.Reason, want) {
				t.Errorf("%+v: %v, want %q", command, result.Err, want)
			}
			if after := mustSnapshot(t, m); !bytes.Equal(before, after) {
				t.Errorf("%+v changed the state", command)
			}
		})
	}
}

// TestHistory fills the history: it stays within its bound and without a gap, and what is older is refused.
func TestHistory(t *testing.T) {
	machine := New()
	machine.Apply(Command{Op: Register, Servers: []list.Registration{server("s-1", "10.0.0.1:80", 0, 0)}})
	for range MaxHistory + 2*historySlack {
		machine.Apply(Command{Op: Drain, UID: "s-1"})
		machine.Apply(Command{Op: Serve, UID: "s-1"})
	}
	if n := machine.Revision() - machine.OldestRevision(); n < MaxHistory || n >= MaxHistory+historySlack {
		t.Errorf("%d changes are in the history", n)
	}
	if _, ok := machine.ChangesSince(machine.OldestRevision() - 1); ok {
		t.Error("changes older than the history were returned")
	}
	if changes, ok := machine.ChangesSince(machine.OldestRevision()); !ok || changes[0].Revision != machine.OldestRevision()+1 || changes[len(changes)-1].Revision != machine.Revision() {
		t.Error("the history has a gap")
	}
	revision := machine.Revision()
	machine.RaiseRevision(5)
	if machine.Revision() != revision+1 {
		t.Errorf("a restore led to %d after %d", machine.Revision(), revision)
	}
	if _, ok := machine.ChangesSince(revision); ok {
		t.Error("a watch went on over a restore")
	}
}

// TestSnapshotForms reads snapshots as other versions of the program write them: unknown fields are ignored, a form that needs a
// later reader is refused, and so is every truncated one.
func TestSnapshotForms(t *testing.T) {
	m := New()
	m.Apply(Command{Op: FoundCluster, Cluster: "c"})
	m.Apply(Command{Op: Register, Servers: []list.Registration{server("s-1", "10.0.0.1:80", 7, 3000)}})
	text := mustSnapshot(t, m)
	body, err := snapshotKind.Open(text)
	if err != nil {
		t.Fatal(err)
	}
	var fields map[string]any
	if err := json.Unmarshal(body, &fields); err != nil {
		t.Fatal(err)
	}
	fields["limits"] = []string{"of a later version"}
	if body, err = json.Marshal(fields); err != nil {
		t.Fatal(err)
	}
	later := sealed.Kind{Magic: snapshotKind.Magic, FormatVersion: snapshotKind.FormatVersion + 1, MinReaderVersion: snapshotKind.FormatVersion}
	next, err := ReadSnapshot(bytes.NewReader(later.Seal(body)))
	if err != nil {
		t.Fatal(err)
	}
	if got := mustSnapshot(t, next); !bytes.Equal(got, text) {
		t.Errorf("read %s, want %s", got, text)
	}
	later.MinReaderVersion++
	if _, err := ReadSnapshot(bytes.NewReader(later.Seal(body))); !errors.Is(err, sealed.ErrCorrupt) {
		t.Errorf("a form that needs a later program: %v", err)
	}
	for n := range text {
		if _, err := ReadSnapshot(bytes.NewReader(text[:n])); !errors.Is(err, sealed.ErrCorrupt) {
			t.Fatalf("%d bytes of %d were read: %v", n, len(text), err)
		}
	}
}

// FuzzSnapshot reads anything: an error or a machine that works and can be written again.
func FuzzSnapshot(f *testing.F) {
	m := New()
	m.Apply(Command{Op: Register, Servers: []list.Registration{server("s-1", "10.0.0.1:80", 7, 3000)}})
	text, _ := m.Snapshot()
	body, _ := snapshotKind.Open(text)
	f.Add(body)
	f.Add([]byte(`{"rev":-1,"history":[{"rev":0}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		m, err := ReadSnapshot(bytes.NewReader(snapshotKind.Seal(body)))
		if err != nil {
			return
		}
		rev := m.Revision()
		if r := m.Apply(Command{Op: Register, Servers: []list.Registration{server("fuzz", "10.0.0.9:80", 0, 0)}}); r.Revision < rev {
			t.Errorf("revision %d after %d", r.Revision, rev)
		}
		if _, ok := m.ChangesSince(m.OldestRevision()); !ok {
			t.Error("the history cannot be read")
		}
		if _, err := m.Snapshot(); err != nil {
			t.Error(err)
		}
	})
}

// FuzzCommand applies anything that a log may hold.
func FuzzCommand(f *testing.F) {
	for _, c := range []Command{{Op: Register, Servers: []list.Registration{server("s-1", "10.0.0.1:80", 7, 3000)}}, {Op: ExpireServers, Expired: []ExpiredLease{{"s-0", 1}}}, {Op: SetNode}} {
		text, _ := json.Marshal(c)
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := Decode(text)
		if err != nil {
			return
		}
		m := New()
		m.Apply(Command{Op: Register, Servers: []list.Registration{server("s-0", "10.0.0.1:80", 7, 3000)}})
		before := m.Revision()
		if r := m.Apply(c); r.Err != nil && m.Revision() != before {
			t.Errorf("%s was refused and changed the state", text)
		}
		text, err = m.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ReadSnapshot(bytes.NewReader(text)); err != nil {
			t.Errorf("its snapshot cannot be read: %v", err)
		}
	})
}

func BenchmarkSnapshot(b *testing.B) {
	m := New()
	for i := range 2000 {
		m.Apply(Command{Op: Register, Servers: []list.Registration{server(fmt.Sprintf("s-%d", i), "10.0.0.1:80", 0, 0)}})
	}
	for b.Loop() {
		if _, err := m.Snapshot(); err != nil {
			b.Fatal(err)
		}
	}
}
