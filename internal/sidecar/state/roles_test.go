package state

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"gradeusher.example/gradeusher/internal/sidecar/sealed"
)

func applyRole(m *Machine, op Op, c RoleCall) Result { return m.Apply(Command{Op: op, Role: &c}) }

func campaign(m *Machine, name, process string) Result {
	return applyRole(m, Campaign, RoleCall{Name: name, Process: process, TTLMS: 3000})
}

func owner(m *Machine, name string) string {
	if current := m.roles.byName[name].Owner; current != nil {
		return current.Process
	}
	return ""
}

// TestRoleRebalance has a second process campaign for ten roles of the first: it is offered half of them.
func TestRoleRebalance(t *testing.T) {
	machine := New()
	for i := range 10 {
		campaign(machine, fmt.Sprint("d-", i), "a#1")
	}
	for i := range 10 {
		campaign(machine, fmt.Sprint("d-", i), "b#1")
	}
	handovers := 0
	for _, role := range machine.RolesSince(0) {
		if role.HandoverRequested && role.Successor == "b#1" {
			handovers++
			applyRole(machine, Release, RoleCall{Name: role.Name, Process: "a#1", Epoch: role.Epoch, Rejoin: true})
		}
	}
	if burden := machine.roles.burden; handovers != 5 || burden["a#1"] != 5 || burden["b#1"] != 5 {
		t.Errorf("%d handovers were requested, and the burden is %v", handovers, burden)
	}
}

// TestRoleOrder grants a role to who should have it: to its location, to the lowest load, to the candidate that waits longest, and not to
// one that keeps failing.
func TestRoleOrder(t *testing.T) {
	machine := New()
	for i := range 5 {
		campaign(machine, fmt.Sprint("a-", i), "a#1")
		campaign(machine, fmt.Sprint("b-", i), "b#1")
	}
	// b has five roles, c none and a load of ten.
	campaignFrom := func(process, location string, load int64) {
		applyRole(machine, Campaign, RoleCall{Name: "p", Process: process, Location: location, RoleLocation: "x", Load: load, TTLMS: 3000})
	}
	campaignFrom("h#1", "x", 0)
	campaignFrom("c#1", "", 10)
	campaignFrom("b#1", "", 0)
	campaignFrom("e#1", "", 5)
	applyRole(machine, Release, RoleCall{Name: "p", Process: "h#1", Epoch: 1})
	if got := owner(machine, "p"); got != "b#1" {
		t.Errorf("%s owns it, want the candidate of the lowest load that waits longest", got)
	}
	campaignFrom("a#1", "x", 99)
	if machine.roles.byName["p"].Successor != "a#1" {
		t.Error("the candidate in the role's location does not get it")
	}
	applyRole(machine, Release, RoleCall{Name: "p", Process: "b#1", Epoch: 2})
	checkBackoff(t, machine)
}

// checkBackoff has the owner a#1 of role p fail at once whenever it gets the role. The first failure has no backoff.
func checkBackoff(t *testing.T, machine *Machine) {
	t.Helper()
	nowMS := int64(0)
	for failure := range 4 {
		if got := owner(machine, "p"); got != "a#1" {
			t.Fatalf("failure %d: %s owns it", failure, got)
		}
		applyRole(machine, Release, RoleCall{Name: "p", Process: "a#1", Epoch: machine.epoch("p"), Rejoin: true, Failed: true, NowMS: nowMS})
		for _, process := range []string{"c#1", "e#1"} {
			applyRole(machine, Withdraw, RoleCall{Name: "p", Process: process})
		}
		if other := owner(machine, "p"); other != "" && other != "a#1" {
			applyRole(machine, Release, RoleCall{Name: "p", Process: other, Epoch: machine.epoch("p"), NowMS: nowMS})
		}
		backoffMS := failureBackoff(failure + 1).Milliseconds()
		if backoffMS == 0 {
			continue
		}
		if machine.DueRoles(nowMS+backoffMS-1) != nil || len(machine.DueRoles(nowMS+backoffMS)) != 1 {
			t.Errorf("failure %d: it is not due after %d ms", failure, backoffMS)
		}
		nowMS += backoffMS
		applyRole(machine, EndRoleLeases, RoleCall{Due: machine.DueRoles(nowMS), NowMS: nowMS})
	}
}

// TestRoleRefused compares the reason of each refusal; none changes the state.
func TestRoleRefused(t *testing.T) {
	zero, nine := int64(0), int64(9)
	for want, operation := range map[string]struct {
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
		t.Run(want, func(t *testing.T) {
			m := refusingMachine()
			before := mustSnapshot(t, m)
			result := applyRole(m, operation.Op, operation.RoleCall)
			if result.Err == nil || !strings.Contains(result.Err.Reason, strings.TrimSuffix(want, " at m")) {
				t.Errorf("%s %+v: %v, want %q", operation.Op, operation.RoleCall, result.Err, want)
			}
			if after := mustSnapshot(t, m); !bytes.Equal(before, after) {
				t.Errorf("%s %+v changed the state", operation.Op, operation.RoleCall)
			}
		})
	}
}

// refusingMachine has a role d of a#1 for which b#1 waits, a free role, and one with as many candidates as there can be.
func refusingMachine() *Machine {
	m := New()
	campaign(m, "d", "a#1")
	campaign(m, "d", "b#1")
	campaign(m, "free", "a#1")
	applyRole(m, Release, RoleCall{Name: "free", Process: "a#1", Epoch: 1})
	for i := range MaxCandidatesPerRole + 1 {
		campaign(m, "full", fmt.Sprintf("w%d#1", i))
	}
	return m
}

// TestRoleLimit fills the role table.
func TestRoleLimit(t *testing.T) {
	m := New()
	for i := range MaxRoles {
		campaign(m, fmt.Sprint("d", i), "a#1")
	}
	if result := campaign(m, "more", "a#1"); result.Err == nil || result.Err.Code != LimitReached {
		t.Errorf("one role too many: %v", result.Err)
	}
	reread(t, m)
}

// TestRoleSnapshotForms has a snapshot with roles refused by a version without them, ignores unknown fields, and refuses
// inconsistent snapshots.
func TestRoleSnapshotForms(t *testing.T) {
	m := New()
	m.Apply(Command{Op: FoundCluster, Cluster: "c"})
	campaign(m, "d", "a#1")
	campaign(m, "d", "b#1")
	text, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	before := sealed.Kind{Magic: snapshotKind.Magic, FormatVersion: 2, MinReaderVersion: 2}
	if _, err := before.Open(text); !errors.Is(err, sealed.ErrCorrupt) {
		t.Errorf("a version that would lose the roles reads them: %v", err)
	}
	body, err := snapshotKind.Open(text)
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name, from, to string
		valid          bool
	}{
		{"unknown field", `"epoch":1`, `"epoch":1,"later":[1]`, true},
		{"negative epoch", `"epoch":1`, `"epoch":-1`, false},
		{"owner waits", `"who":"b#1"`, `"who":"a#1"`, false},
		{"no name", `"name":"d"`, `"name":""`, false},
		{"lease too short", `"ttl_ms":3000`, `"ttl_ms":3`, false},
		{"role ahead of table", `"rev":3,"`, `"rev":2,"`, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := ReadSnapshot(bytes.NewReader(snapshotKind.Seal(replaceOnce(t, body, test.from, test.to))))
			if (err == nil) != test.valid || err != nil && !errors.Is(err, sealed.ErrCorrupt) {
				t.Errorf("%s is read: %v", test.to, err)
			}
		})
	}
}

// replaceOnce replaces the first occurrence of a text, which must be there.
func replaceOnce(t *testing.T, body []byte, from, to string) []byte {
	t.Helper()
	replaced := bytes.Replace(body, []byte(from), []byte(to), 1)
	if bytes.Equal(replaced, body) {
		t.Fatalf("no %s in %s", from, body)
	}
	return replaced
}

// TestRoleRestore restores a backup: roles of the current state go on; on nodes that lost all of them no epoch comes twice, and the
// owner at the backup has a last lease.
func TestRoleRestore(t *testing.T) {
	machine := New()
	campaign(machine, "d", "a#1")
	campaign(machine, "d", "b#1")
	backup := reread(t, machine)
	applyRole(machine, Release, RoleCall{Name: "d", Process: "a#1", Epoch: 1})
	revision := machine.RoleRevision()

	restored := reread(t, backup)
	if err := restored.CarryOverRoles(machine); err != nil {
		t.Fatal(err)
	}
	if owner(restored, "d") != "b#1" || restored.epoch("d") != 2 {
		t.Errorf("%s owns it under epoch %d", owner(restored, "d"), restored.epoch("d"))
	}
	if restored.RoleRevision() <= revision || restored.LeaseTerm() != machine.LeaseTerm()+1 {
		t.Errorf("revision %d after %d, term %d after %d", restored.RoleRevision(), revision, restored.LeaseTerm(), machine.LeaseTerm())
	}

	if err := backup.CarryOverRoles(New()); err != nil {
		t.Fatal(err)
	}
	if owner(backup, "d") != "a#1" || backup.epoch("d") <= 1000 || !backup.roles.byName["d"].RenewalBarred {
		t.Errorf("%s owns it under epoch %d", owner(backup, "d"), backup.epoch("d"))
	}
	reread(t, backup)
}
