package state

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"gradeusher.example/gradeusher/internal/sidecar/sealed"
)

func applyRole(m *Machine, op Op, c RoleCall) Result { return m.Apply(Command{Op: op, Role: &c}) }

func campaign(m *Machine, name, who string) Result {
	return applyRole(m, Campaign, RoleCall{Name: name, Process: who, TTLMS: 3000})
}

func owner(m *Machine, name string) string {
	if h := m.roles.byName[name].Owner; h != nil {
		return h.Process
	}
	return ""
}

// TestRolesModel draws commands, right and wrong. What is refused changes nothing; the epoch of a duty rises by one with each
// holder and never falls; the holder changes only by its own release or an end under the office that counts; nobody who could have a
// duty waits beside a free one; and what is known by process fits, also in a machine from a snapshot.
func TestRolesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		names, whos := []string{"d-1", "d-2"}, []string{"a#1", "a#2", "b#1", "c#1"}
		now := int64(1000)
		highest := map[string]int64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.SampledFrom([]int64{0, 10, 700, 5000, -3000}).Draw(t, "later")
			name := rapid.SampledFrom(names).Draw(t, "name")
			c := RoleCall{Name: name, Process: rapid.SampledFrom(whos).Draw(t, "who"), TTLMS: 3000, NowMS: now,
				Epoch: m.epoch(name) + rapid.SampledFrom([]int64{0, 0, 0, -1, 1}).Draw(t, "off"), Rejoin: rapid.Bool().Draw(t, "again"), Failed: rapid.Bool().Draw(t, "failed"),
				Successor: rapid.SampledFrom([]string{"", "a", "b#1"}).Draw(t, "to"), Force: rapid.Bool().Draw(t, "force")}
			op := rapid.SampledFrom([]Op{Campaign, Campaign, Withdraw, Release, Move, Checkpoint, Forget, EndRoleLeases, StartLeaseTerm}).Draw(t, "op")
			if op == Checkpoint || rapid.Bool().Draw(t, "step") {
				n := rapid.Int64Range(0, 2).Draw(t, "step")
				c.StepNo, c.Step = &n, "half"
			}
			if op == Forget {
				now += rapid.SampledFrom([]int64{0, 100_000}).Draw(t, "much later")
				c.IdleRoles, c.IdleMS, c.NowMS, c.StepNo = names, 60_000, now, nil
			}
			if op == EndRoleLeases {
				c.LeaseTerm = m.roles.leaseTerm - rapid.Int64Range(0, 1).Draw(t, "old office")
				c.Ended, c.TimedOut, c.Due = []LeaseRef{{Name: name, Epoch: c.Epoch}}, []LeaseRef{{Name: name, Process: c.Process}}, m.DueRoles(now)
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				m = reread(t, m)
			}
			before, err := m.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			was := map[string]Role{}
			for _, d := range m.RolesSince(0) {
				was[d.Name] = d
			}
			r := applyRole(m, op, c)
			after, _ := m.Snapshot()
			if r.Err != nil && !bytes.Equal(before, after) {
				t.Fatalf("%s %+v was refused (%v) and changed the state", op, c, r.Err)
			}
			for name, d := range was {
				if _, there := m.Role(name); !there && (op != Forget || d.Owner != nil || len(d.Waiting) > 0) {
					t.Fatalf("%s %+v forgot %+v", op, c, d)
				}
			}
			for _, d := range m.RolesSince(0) {
				old, there := was[d.Name]
				if !there {
					old.Epoch = m.roles.forgottenEpoch
				}
				if d.Epoch < highest[d.Name] || d.Owner != nil && old.Owner == nil && d.Epoch == highest[d.Name] {
					t.Fatalf("%s: epoch %d of %s, which was at %d", op, d.Epoch, d.Name, highest[d.Name])
				}
				highest[d.Name] = d.Epoch
				held, holds := old.Owner, d.Owner
				switch granted := holds != nil && (held == nil || d.Epoch != old.Epoch); {
				case granted && d.Epoch != old.Epoch+1, !granted && d.Epoch != old.Epoch:
					t.Fatalf("%s: epoch %d after %d, holder %v after %v", op, d.Epoch, old.Epoch, holds, held)
				case held != nil && (holds == nil || d.Epoch != old.Epoch) && !(op == Release && old.IsOwner(c.Process) && c.Epoch == old.Epoch) &&
					!(op == EndRoleLeases && c.LeaseTerm == m.roles.leaseTerm && c.Epoch == old.Epoch):
					t.Fatalf("%s %+v took %s from %v", op, c, d.Name, held)
				}
				if op != Campaign && len(d.Waiting) > 0 && d.Owner == nil && old.Owner != nil && m.roles.bestCandidate(m.roles.byName[d.Name], now, "") >= 0 {
					t.Fatalf("%s is free, and %v wait", d.Name, d.Waiting)
				}
			}
			if s, _ := m.roles.snapshot().restore(); m.roles.snapshot() != nil && (!maps.Equal(s.burden, m.roles.burden) || s.waiting != m.roles.waiting ||
				fmt.Sprint(s.byProcess) != fmt.Sprint(m.roles.byProcess)) {
				t.Fatalf("%s: %v %v, want %v %v", op, m.roles.burden, m.roles.byProcess, s.burden, s.byProcess)
			}
		}
	})
}

func (m *Machine) epoch(name string) int64 {
	if d := m.roles.byName[name]; d != nil {
		return d.Epoch
	}
	return 0
}

// TestRoleOrder has a duty go where it should: to its room, to who carries least, to who waits longest, and not to who keeps failing.
func TestRoleOrder(t *testing.T) {
	m := New()
	for i := range 10 {
		campaign(m, fmt.Sprint("d-", i), "a#1")
	}
	for i := range 10 {
		campaign(m, fmt.Sprint("d-", i), "b#1")
	}
	asked := 0
	for _, d := range m.RolesSince(0) {
		if d.HandoverRequested && d.Successor == "b#1" {
			asked++
			applyRole(m, Release, RoleCall{Name: d.Name, Process: "a#1", Epoch: d.Epoch, Rejoin: true})
		}
	}
	if b := m.roles.burden; asked != 5 || b["a#1"] != 5 || b["b#1"] != 5 {
		t.Errorf("%d were asked for, and they have %v", asked, b)
	}
	// b has five, c none and load of ten; a waits in the room
	far := func(who, room string, load int64) {
		applyRole(m, Campaign, RoleCall{Name: "p", Process: who, Location: room, RoleLocation: "x", Load: load, TTLMS: 3000})
	}
	far("h#1", "x", 0)
	far("c#1", "", 10)
	far("b#1", "", 0)
	far("e#1", "", 5)
	if applyRole(m, Release, RoleCall{Name: "p", Process: "h#1", Epoch: 1}); owner(m, "p") != "b#1" {
		t.Errorf("%s has it, want who carries least and waits longest", owner(m, "p"))
	}
	if far("a#1", "x", 99); m.roles.byName["p"].Successor != "a#1" {
		t.Error("who is in the room does not get it")
	}
	applyRole(m, Release, RoleCall{Name: "p", Process: "b#1", Epoch: 2})
	now := int64(0)
	for i := range 4 { // it fails at once whenever it has it; the first time is free
		d := m.roles.byName["p"]
		if owner(m, "p") != "a#1" {
			t.Fatalf("failure %d: %s has it", i, owner(m, "p"))
		}
		applyRole(m, Release, RoleCall{Name: "p", Process: "a#1", Epoch: d.Epoch, Rejoin: true, Failed: true, NowMS: now})
		for _, who := range []string{"c#1", "e#1"} {
			applyRole(m, Withdraw, RoleCall{Name: "p", Process: who})
		}
		if h := owner(m, "p"); h != "" && h != "a#1" {
			applyRole(m, Release, RoleCall{Name: "p", Process: h, Epoch: m.epoch("p"), NowMS: now})
		}
		if wait := failureBackoff(i + 1).Milliseconds(); wait > 0 {
			if m.DueRoles(now+wait-1) != nil || len(m.DueRoles(now+wait)) != 1 {
				t.Errorf("failure %d: it is not due after %d ms", i, wait)
			}
			now += wait
			applyRole(m, EndRoleLeases, RoleCall{Due: m.DueRoles(now), NowMS: now})
		}
	}
}

// TestRoleRefused holds each bad command against its reason; none changes anything.
func TestRoleRefused(t *testing.T) {
	zero, nine := int64(0), int64(9)
	for want, c := range map[string]struct {
		Op
		RoleCall
	}{
		"uid is missing":                      {Campaign, RoleCall{Process: "a#1", TTLMS: 3000}},
		"the first a letter or digit":         {Campaign, RoleCall{Name: "-x", Process: "a#1", TTLMS: 3000}},
		"at most 128 letters":                 {Campaign, RoleCall{Name: strings.Repeat("x", 129), Process: "a#1", TTLMS: 3000}},
		`"a" is no NAME#RUN`:                  {Campaign, RoleCall{Name: "d", Process: "a", TTLMS: 3000}},
		"too short for the margin of 104 ms":  {Campaign, RoleCall{Name: "d", Process: "a#1", TTLMS: 499}},
		"300001 ms is too long":               {Campaign, RoleCall{Name: "d", Process: "a#1", TTLMS: 300001}},
		"9223372036854775807 ms is too long":  {Campaign, RoleCall{Name: "d", Process: "a#1", TTLMS: 1<<63 - 1}},
		"a load of -1":                        {Campaign, RoleCall{Name: "d", Process: "a#1", TTLMS: 3000, Load: -1}},
		`no duty "e"`:                         {Release, RoleCall{Name: "e", Process: "a#1"}},
		"epoch 2 of d is from the future":     {Release, RoleCall{Name: "d", Process: "a#1", Epoch: 2}},
		"b#1 does not hold d under epoch 1":   {Release, RoleCall{Name: "d", Process: "b#1", Epoch: 1}},
		"a#1 does not hold d under epoch 0":   {Checkpoint, RoleCall{Name: "d", Process: "a#1", StepNo: &zero}},
		"d is at step 0, not 9":               {Checkpoint, RoleCall{Name: "d", Process: "a#1", Epoch: 1, StepNo: &nine}},
		"b#1 does not hold d under epoch 0":   {Forget, RoleCall{Name: "d", Process: "b#1", IdleRoles: []string{"free"}, IdleMS: 1000}},
		"1 duties idle for 999 ms":            {Forget, RoleCall{Name: "d", Process: "a#1", Epoch: 1, IdleRoles: []string{"free"}, IdleMS: 999, NowMS: 5000}},
		"step_no is missing":                  {Checkpoint, RoleCall{Name: "d", Process: "a#1", Epoch: 1}},
		"a step has 4096 bytes":               {Checkpoint, RoleCall{Name: "d", Process: "a#1", Epoch: 1, StepNo: &zero, Step: strings.Repeat("x", 4097)}},
		"a#1 does not wait for d":             {Withdraw, RoleCall{Name: "d", Process: "a#1"}},
		`"z" does not wait for d`:             {Move, RoleCall{Name: "d", Successor: "z"}},
		"nobody holds free":                   {Move, RoleCall{Name: "free"}},
		"256 wait for full, and 257 in all":   {Campaign, RoleCall{Name: "full", Process: "late#1", TTLMS: 3000}},
		"name of a duty: uid is missing at m": {Move, RoleCall{}},
	} {
		m := New()
		campaign(m, "d", "a#1")
		campaign(m, "d", "b#1")
		campaign(m, "free", "a#1")
		applyRole(m, Release, RoleCall{Name: "free", Process: "a#1", Epoch: 1})
		for i := range MaxCandidatesPerRole + 1 {
			campaign(m, "full", fmt.Sprintf("w%d#1", i))
		}
		before, _ := m.Snapshot()
		r := applyRole(m, c.Op, c.RoleCall)
		if r.Err == nil || !strings.Contains(r.Err.Reason, strings.TrimSuffix(want, " at m")) {
			t.Errorf("%s %+v: %v, want %q", c.Op, c.RoleCall, r.Err, want)
		}
		if after, _ := m.Snapshot(); !bytes.Equal(before, after) {
			t.Errorf("%s %+v changed the state", c.Op, c.RoleCall)
		}
	}
	m := New()
	for i := range MaxRoles {
		campaign(m, fmt.Sprint("d", i), "a#1")
	}
	if r := campaign(m, "more", "a#1"); r.Err == nil || r.Err.Code != LimitReached {
		t.Errorf("one duty too many: %v", r.Err)
	}
	reread(t, m)
}

// TestRoleSnapshotForms reads snapshots of before there were duties, has one with duties refused by such a program, passes over unknown
// fields, and refuses what makes no sense.
func TestRoleSnapshotForms(t *testing.T) {
	m := New()
	m.Apply(Command{Op: FoundCluster, Cluster: "c"})
	campaign(m, "d", "a#1")
	campaign(m, "d", "b#1")
	text, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	before := sealed.Kind{Magic: snapshotKind.Magic, Form: 2, Needs: 2}
	if _, err := before.Open(text); !errors.Is(err, sealed.ErrUnsound) {
		t.Errorf("a program that would lose the duties reads them: %v", err)
	}
	body, err := snapshotKind.Open(text)
	if err != nil {
		t.Fatal(err)
	}
	for change, sound := range map[string]bool{`"epoch":1|"epoch":1,"later":[1]`: true, `"epoch":1|"epoch":-1`: false, `"who":"b#1"|"who":"a#1"`: false,
		`"name":"d"|"name":""`: false, `"ttl_ms":3000|"ttl_ms":3`: false, `"rev":3,"|"rev":2,"`: false} {
		from, to, _ := strings.Cut(change, "|")
		other := strings.Replace(string(body), from, to, 1)
		if other == string(body) {
			t.Fatalf("no %s in %s", from, body)
		}
		if _, err := ReadSnapshot(bytes.NewReader(snapshotKind.Seal([]byte(other)))); (err == nil) != sound || err != nil && !errors.Is(err, sealed.ErrUnsound) {
			t.Errorf("%s is read: %v", to, err)
		}
	}
}

// TestRoleRestore takes up a backup: duties that are known go on, and on keepers that lost all of them no epoch comes twice and the
// holder of then has a last lease.
func TestRoleRestore(t *testing.T) {
	m := New()
	campaign(m, "d", "a#1")
	campaign(m, "d", "b#1")
	backup := reread(t, m)
	applyRole(m, Release, RoleCall{Name: "d", Process: "a#1", Epoch: 1})
	rev := m.RoleRevision()
	old := reread(t, backup)
	if err := old.CarryOverRoles(m); err != nil || owner(old, "d") != "b#1" || old.epoch("d") != 2 || old.RoleRevision() <= rev || old.LeaseTerm() != m.LeaseTerm()+1 {
		t.Errorf("%v: %s holds it under %d", err, owner(old, "d"), old.epoch("d"))
	}
	if err := backup.CarryOverRoles(New()); err != nil || owner(backup, "d") != "a#1" || backup.epoch("d") <= 1000 || !backup.roles.byName["d"].RenewalBarred {
		t.Errorf("%v: %s holds it under %d", err, owner(backup, "d"), backup.epoch("d"))
	}
	reread(t, backup)
}
