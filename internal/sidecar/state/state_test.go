package state

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"gradeusher.example/gradeusher/internal/sidecar/list"
	"gradeusher.example/gradeusher/internal/sidecar/sealed"
)

func server(uid, endpoint string, boot int64, lease int64) list.Registration {
	return list.Registration{Target: list.Target{UID: uid, Endpoint: endpoint, Zone: "a", State: list.Serving, BootMS: boot}, LeaseMS: lease}
}

// referenceModel is what the machine is held against: every change there ever was, and each server as it was last told.
type referenceModel struct {
	changes   []Change
	targets   map[string]list.Target
	reasons   map[string]string
	revisions map[string]int64
}

func (s *referenceModel) recordChange(t list.Target, state list.State, why string) {
	t.State = state
	rev := int64(len(s.changes) + 1)
	s.changes = append(s.changes, Change{rev, t})
	if s.revisions[t.UID] = rev; state == list.Deleted {
		delete(s.targets, t.UID)
		delete(s.revisions, t.UID)
		return
	}
	s.targets[t.UID], s.reasons[t.UID] = t, why
}

// apply is what a command should apply, and whether it should be taken.
func (s *referenceModel) apply(c Command) bool {
	if c.Expect != nil {
		uid := c.UID
		if c.Op == Register {
			uid = c.Servers[0].UID
		}
		if s.revisions[uid] != *c.Expect {
			return false
		}
	}
	switch c.Op {
	case Register:
		r := c.Servers[0]
		old, known := s.targets[r.UID]
		switch {
		case known && r.BootMS < old.BootMS, known && r.BootMS == old.BootMS && r.Endpoint != old.Endpoint && s.reasons[r.UID] != LeaseExpired:
			return false
		case !known || r.BootMS > old.BootMS:
			s.recordChange(r.Target, list.Serving, "")
		case s.reasons[r.UID] == DrainRequested:
			if r.Target.State = list.Draining; old.Changed(r.Target) {
				s.recordChange(r.Target, list.Draining, DrainRequested)
			}
		default:
			if old.Changed(r.Target) {
				s.recordChange(r.Target, list.Serving, "")
			}
		}
		return true
	case Drain:
		old, known := s.targets[c.UID]
		if known && old.State == list.Serving {
			s.recordChange(old, list.Draining, DrainRequested)
		} else if known {
			s.reasons[c.UID] = DrainRequested
		}
		return known
	case Serve:
		old, known := s.targets[c.UID]
		if !known || s.reasons[c.UID] == LeaseExpired && old.State == list.Draining {
			return false
		}
		if old.State == list.Draining {
			s.recordChange(old, list.Serving, "")
		}
		return true
	case Deregister:
		old, known := s.targets[c.UID]
		if known {
			s.recordChange(old, list.Deleted, "")
		}
		return known
	}
	return false
}

// TestModel has random commands done by the machine and by the simple model. Revisions rise by one, what is refused changes
// nothing, and a machine from a snapshot goes on as the one that wrote it.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		s := &referenceModel{targets: map[string]list.Target{}, reasons: map[string]string{}, revisions: map[string]int64{}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c := Command{Op: rapid.SampledFrom([]Op{Register, Register, Register, Drain, Serve, Deregister, ExpireServers}).Draw(t, "op"),
				UID: rapid.SampledFrom([]string{"s-1", "s-2", "s-3"}).Draw(t, "uid")}
			switch c.Op {
			case Register:
				c.Servers = []list.Registration{server(c.UID, rapid.SampledFrom([]string{"10.0.0.1:80", "10.0.0.2:80"}).Draw(t, "endpoint"),
					rapid.Int64Range(0, 3).Draw(t, "boot"), rapid.SampledFrom([]int64{0, 2000}).Draw(t, "lease"))}
			case ExpireServers:
				c.Expired = []ExpiredLease{{c.UID, rapid.Int64Range(0, m.lastLease+1).Draw(t, "token")}}
			}
			if c.Op != ExpireServers && rapid.Bool().Draw(t, "cas") {
				n := rapid.Int64Range(0, m.Revision()).Draw(t, "expect")
				c.Expect = &n
			}
			before, err := m.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				if m, err = ReadSnapshot(bytes.NewReader(before)); err != nil {
					t.Fatal(err)
				}
			}
			taken := false
			if c.Op == ExpireServers { // its effect follows from the entry and the token
				e, known := m.Entry(c.UID)
				if taken = true; known && e.LeaseMS > 0 && e.Lease == c.Expired[0].Lease {
					if e.State == list.Serving {
						s.recordChange(s.targets[c.UID], list.Draining, LeaseExpired)
					} else {
						s.recordChange(s.targets[c.UID], list.Deleted, "")
					}
				}
			} else {
				taken = s.apply(c)
			}
			r := m.Apply(c)
			if (r.Err == nil) != taken {
				t.Fatalf("%+v: %v, want taken %v", c, r.Err, taken)
			}
			after, err := m.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			if r.Err != nil && !bytes.Equal(before, after) {
				t.Fatalf("%+v was refused (%v) and changed the state", c, r.Err)
			}
			if m.Revision() != int64(len(s.changes)) {
				t.Fatalf("%+v: revision %d after %d changes", c, m.Revision(), len(s.changes))
			}
			from := rapid.Int64Range(0, m.Revision()).Draw(t, "from")
			got, ok := m.ChangesSince(from)
			if want := s.changes[from:]; !ok || len(got) != len(want) || len(want) > 0 && !reflect.DeepEqual(got, want) {
				t.Fatalf("since %d: %v, %v, want %v", from, got, ok, want)
			}
			if len(s.targets) != m.Len() {
				t.Fatalf("%d servers, want %d", m.Len(), len(s.targets))
			}
			for uid, want := range s.targets {
				if e, _ := m.Entry(uid); e.Target != want || e.Revision != s.revisions[uid] {
					t.Fatalf("%s is %+v, want %+v at %d", uid, e, want, s.revisions[uid])
				}
			}
		}
	})
}

// TestRefused holds each bad command against its reason; none changes anything.
func TestRefused(t *testing.T) {
	far, high := int64(99), 2e6
	good := server("s-1", "10.0.0.1:80", 5, 0)
	bad := func(change func(*list.Registration)) Command {
		r := server("s-2", "10.0.0.2:80", 0, 0)
		change(&r)
		return Command{Op: Register, Servers: []list.Registration{r}}
	}
	for want, c := range map[string]Command{
		"s-2 stands twice":             {Op: Register, Servers: []list.Registration{server("s-2", "10.0.0.2:80", 0, 0), server("s-2", "10.0.0.2:80", 0, 0)}},
		"unknown state \"SLEEPING\"":   bad(func(r *list.Registration) { r.State = "SLEEPING" }),
		"registers as SERVING":         bad(func(r *list.Registration) { r.State = list.Deleted }),
		"capacity_hint 2e+06 is not":   bad(func(r *list.Registration) { r.Capacity = &high }),
		"uid is missing":               bad(func(r *list.Registration) { r.UID = "" }),
		"is no IP address and port":    bad(func(r *list.Registration) { r.Endpoint = "host:80" }),
		"lease_ms 5 is neither":        bad(func(r *list.Registration) { r.LeaseMS = 5 }),
		"boot_ms -1 is no":             bad(func(r *list.Registration) { r.BootMS = -1 }),
		"revision 99 lies ahead":       {Op: Drain, UID: "s-1", Expect: &far},
		"no server \"s-9\"":            {Op: Drain, UID: "s-9"},
		"unknown command \"dance\"":    {Op: "dance"},
		"a process that booted at 5":   {Op: Register, Servers: []list.Registration{server("s-1", "10.0.0.1:80", 4, 0)}},
		"the process at 10.0.0.1:80":   {Op: Register, Servers: []list.Registration{server("s-1", "10.0.0.3:80", 5, 0)}},
		"0 servers to register":        {Op: Register},
		"goes with one server, not 2":  {Op: Register, Expect: &far, Servers: []list.Registration{good, server("s-2", "10.0.0.2:80", 0, 0)}},
		"a keeper needs a name":        {Op: SetNode},
		"a cluster needs an id":        {Op: FoundCluster},
		"keeper k: \"\" is no address": {Op: SetNode, Node: &Node{Name: "k"}},
	} {
		m := New()
		m.Apply(Command{Op: Register, Servers: []list.Registration{good}})
		before, _ := m.Snapshot()
		r := m.Apply(c)
		if r.Err == nil || !strings.Contains(r.Err.Reason, want) {
			t.Errorf("%+v: %v, want %q", c, r.Err, want)
		}
		if after, _ := m.Snapshot(); !bytes.Equal(before, after) {
			t.Errorf("%+v changed the state", c)
		}
	}
}

// TestHistory fills the history: it stays within its bound, without a gap, and what is older is told as such.
func TestHistory(t *testing.T) {
	m := New()
	m.Apply(Command{Op: Register, Servers: []list.Registration{server("s-1", "10.0.0.1:80", 0, 0)}})
	for range MaxHistory + 2*historySlack {
		m.Apply(Command{Op: Drain, UID: "s-1"})
		m.Apply(Command{Op: Serve, UID: "s-1"})
	}
	if n := m.Revision() - m.OldestRevision(); n < MaxHistory || n >= MaxHistory+historySlack {
		t.Errorf("%d changes are held", n)
	}
	if _, ok := m.ChangesSince(m.OldestRevision() - 1); ok {
		t.Error("what is older than the history was told")
	}
	if all, ok := m.ChangesSince(m.OldestRevision()); !ok || all[0].Revision != m.OldestRevision()+1 || all[len(all)-1].Revision != m.Revision() {
		t.Error("the history is not whole")
	}
	rev := m.Revision()
	if m.RaiseRevision(5); m.Revision() != rev+1 {
		t.Errorf("a restore led to %d after %d", m.Revision(), rev)
	}
	if _, ok := m.ChangesSince(rev); ok {
		t.Error("a watch went on over a restore")
	}
}

// TestSnapshotForms reads snapshots as other versions of the program write them: unknown fields are passed over, a form that needs a
// later reader is refused, and so is every torn one.
func TestSnapshotForms(t *testing.T) {
	m := New()
	m.Apply(Command{Op: FoundCluster, Cluster: "c"})
	m.Apply(Command{Op: Register, Servers: []list.Registration{server("s-1", "10.0.0.1:80", 7, 3000)}})
	text, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	body, err := snapshotKind.Open(text)
	if err != nil {
		t.Fatal(err)
	}
	var fields map[string]any
	if err := json.Unmarshal(body, &fields); err != nil {
		t.Fatal(err)
	}
	fields["limits"] = []string{"of a later version"}
	body, _ = json.Marshal(fields)
	later := sealed.Kind{Magic: snapshotKind.Magic, Form: snapshotKind.Form + 1, Needs: snapshotKind.Form}
	next, err := ReadSnapshot(bytes.NewReader(later.Seal(body)))
	if err != nil {
		t.Fatal(err)
	}
	if got, _ := next.Snapshot(); !bytes.Equal(got, text) {
		t.Errorf("read %s, want %s", got, text)
	}
	if later.Needs++; true {
		if _, err := ReadSnapshot(bytes.NewReader(later.Seal(body))); !errors.Is(err, sealed.ErrUnsound) {
			t.Errorf("a form that needs a later program: %v", err)
		}
	}
	for n := range text {
		if _, err := ReadSnapshot(bytes.NewReader(text[:n])); !errors.Is(err, sealed.ErrUnsound) {
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
