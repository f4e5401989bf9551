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

// simple is what the machine is held against: every change there ever was, and each server as it was last told.
type simple struct {
	all  []Change
	last map[string]list.Target
	why  map[string]string
	rev  map[string]int64
}

func (s *simple) tell(t list.Target, state list.State, why string) {
	t.State = state
	rev := int64(len(s.all) + 1)
	s.all = append(s.all, Change{rev, t})
	if s.rev[t.UID] = rev; state == list.Deleted {
		delete(s.last, t.UID)
		delete(s.rev, t.UID)
		return
	}
	s.last[t.UID], s.why[t.UID] = t, why
}

// do is what a command should do, and whether it should be taken.
func (s *simple) do(c Command) bool {
	if c.Expect != nil {
		uid := c.UID
		if c.Op == Register {
			uid = c.Servers[0].UID
		}
		if s.rev[uid] != *c.Expect {
			return false
		}
	}
	switch c.Op {
	case Register:
		r := c.Servers[0]
		old, known := s.last[r.UID]
		switch {
		case known && r.BootMS < old.BootMS, known && r.BootMS == old.BootMS && r.Endpoint != old.Endpoint && s.why[r.UID] != LeaseOver:
			return false
		case !known || r.BootMS > old.BootMS:
			s.tell(r.Target, list.Serving, "")
		case s.why[r.UID] == Asked:
			if r.Target.State = list.Draining; old.Differs(r.Target) {
				s.tell(r.Target, list.Draining, Asked)
			}
		default:
			if old.Differs(r.Target) {
				s.tell(r.Target, list.Serving, "")
			}
		}
		return true
	case Drain:
		old, known := s.last[c.UID]
		if known && old.State == list.Serving {
			s.tell(old, list.Draining, Asked)
		} else if known {
			s.why[c.UID] = Asked
		}
		return known
	case Serve:
		old, known := s.last[c.UID]
		if !known || s.why[c.UID] == LeaseOver && old.State == list.Draining {
			return false
		}
		if old.State == list.Draining {
			s.tell(old, list.Serving, "")
		}
		return true
	case Leave:
		old, known := s.last[c.UID]
		if known {
			s.tell(old, list.Deleted, "")
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
		s := &simple{last: map[string]list.Target{}, why: map[string]string{}, rev: map[string]int64{}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c := Command{Op: rapid.SampledFrom([]Op{Register, Register, Register, Drain, Serve, Leave, Expire}).Draw(t, "op"),
				UID: rapid.SampledFrom([]string{"s-1", "s-2", "s-3"}).Draw(t, "uid")}
			switch c.Op {
			case Register:
				c.Servers = []list.Registration{server(c.UID, rapid.SampledFrom([]string{"10.0.0.1:80", "10.0.0.2:80"}).Draw(t, "endpoint"),
					rapid.Int64Range(0, 3).Draw(t, "boot"), rapid.SampledFrom([]int64{0, 2000}).Draw(t, "lease"))}
			case Expire:
				c.Ended = []Ended{{c.UID, rapid.Int64Range(0, m.lease+1).Draw(t, "token")}}
			}
			if c.Op != Expire && rapid.Bool().Draw(t, "cas") {
				n := rapid.Int64Range(0, m.Rev()).Draw(t, "expect")
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
			if c.Op == Expire { // its effect follows from the entry and the token
				e, known := m.Entry(c.UID)
				if taken = true; known && e.LeaseMS > 0 && e.Lease == c.Ended[0].Lease {
					if e.State == list.Serving {
						s.tell(s.last[c.UID], list.Draining, LeaseOver)
					} else {
						s.tell(s.last[c.UID], list.Deleted, "")
					}
				}
			} else {
				taken = s.do(c)
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
			if m.Rev() != int64(len(s.all)) {
				t.Fatalf("%+v: revision %d after %d changes", c, m.Rev(), len(s.all))
			}
			from := rapid.Int64Range(0, m.Rev()).Draw(t, "from")
			got, ok := m.Since(from)
			if want := s.all[from:]; !ok || len(got) != len(want) || len(want) > 0 && !reflect.DeepEqual(got, want) {
				t.Fatalf("since %d: %v, %v, want %v", from, got, ok, want)
			}
			if len(s.last) != m.Len() {
				t.Fatalf("%d servers, want %d", m.Len(), len(s.last))
			}
			for uid, want := range s.last {
				if e, _ := m.Entry(uid); e.Target != want || e.Rev != s.rev[uid] {
					t.Fatalf("%s is %+v, want %+v at %d", uid, e, want, s.rev[uid])
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
		"a keeper needs a name":        {Op: Member},
		"a cluster needs an id":        {Op: Found},
		"keeper k: \"\" is no address": {Op: Member, Keeper: &Keeper{Name: "k"}},
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
	for range MostHistory + 2*historySlack {
		m.Apply(Command{Op: Drain, UID: "s-1"})
		m.Apply(Command{Op: Serve, UID: "s-1"})
	}
	if n := m.Rev() - m.Oldest(); n < MostHistory || n >= MostHistory+historySlack {
		t.Errorf("%d changes are held", n)
	}
	if _, ok := m.Since(m.Oldest() - 1); ok {
		t.Error("what is older than the history was told")
	}
	if all, ok := m.Since(m.Oldest()); !ok || all[0].Rev != m.Oldest()+1 || all[len(all)-1].Rev != m.Rev() {
		t.Error("the history is not whole")
	}
	rev := m.Rev()
	if m.Raise(5); m.Rev() != rev+1 {
		t.Errorf("a restore led to %d after %d", m.Rev(), rev)
	}
	if _, ok := m.Since(rev); ok {
		t.Error("a watch went on over a restore")
	}
}

// TestForms reads snapshots as other versions of the program write them: unknown fields are passed over, a form that needs a
// later reader is refused, and so is every torn one.
func TestForms(t *testing.T) {
	m := New()
	m.Apply(Command{Op: Found, Cluster: "c"})
	m.Apply(Command{Op: Register, Servers: []list.Registration{server("s-1", "10.0.0.1:80", 7, 3000)}})
	text, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	body, err := kind.Open(text)
	if err != nil {
		t.Fatal(err)
	}
	var fields map[string]any
	if err := json.Unmarshal(body, &fields); err != nil {
		t.Fatal(err)
	}
	fields["limits"] = []string{"of a later version"}
	body, _ = json.Marshal(fields)
	later := sealed.Kind{Magic: kind.Magic, Form: kind.Form + 1, Needs: kind.Form}
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
	body, _ := kind.Open(text)
	f.Add(body)
	f.Add([]byte(`{"rev":-1,"history":[{"rev":0}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		m, err := ReadSnapshot(bytes.NewReader(kind.Seal(body)))
		if err != nil {
			return
		}
		rev := m.Rev()
		if r := m.Apply(Command{Op: Register, Servers: []list.Registration{server("fuzz", "10.0.0.9:80", 0, 0)}}); r.Rev < rev {
			t.Errorf("revision %d after %d", r.Rev, rev)
		}
		if _, ok := m.Since(m.Oldest()); !ok {
			t.Error("the history cannot be read")
		}
		if _, err := m.Snapshot(); err != nil {
			t.Error(err)
		}
	})
}

// FuzzCommand applies anything that a log may hold.
func FuzzCommand(f *testing.F) {
	for _, c := range []Command{{Op: Register, Servers: []list.Registration{server("s-1", "10.0.0.1:80", 7, 3000)}}, {Op: Expire, Ended: []Ended{{"s-0", 1}}}, {Op: Member}} {
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
		before := m.Rev()
		if r := m.Apply(c); r.Err != nil && m.Rev() != before {
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
