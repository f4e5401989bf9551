package state

import (
	"bytes"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"gradeusher.example/gradeusher/internal/sidecar/list"
)

func server(uid, endpoint string, bootMS, leaseMS int64) list.Registration {
	return list.Registration{Target: list.Target{UID: uid, Endpoint: endpoint, Zone: "a", State: list.Serving, BootMS: bootMS}, LeaseMS: leaseMS}
}

// referenceModel is what the machine is compared with: every change there ever was, and each server after its last change.
type referenceModel struct {
	changes   []Change
	targets   map[string]list.Target
	reasons   map[string]string
	revisions map[string]int64
}

func (rm *referenceModel) recordChange(target list.Target, state list.State, reason string) {
	target.State = state
	revision := int64(len(rm.changes) + 1)
	rm.changes = append(rm.changes, Change{revision, target})
	if state == list.Deleted {
		delete(rm.targets, target.UID)
		delete(rm.revisions, target.UID)
		return
	}
	rm.targets[target.UID], rm.reasons[target.UID], rm.revisions[target.UID] = target, reason, revision
}

// apply does what a command other than ExpireServers should do, and returns whether the command should be accepted.
func (rm *referenceModel) apply(command Command) bool {
	uid := command.UID
	if command.Op == Register {
		uid = command.Servers[0].UID
	}
	if command.Expect != nil && rm.revisions[uid] != *command.Expect {
		return false
	}
	if command.Op == Register {
		return rm.register(command.Servers[0].Target)
	}
	target, known := rm.targets[uid]
	if !known {
		return false
	}
	switch command.Op {
	case Drain:
		if target.State == list.Serving {
			rm.recordChange(target, list.Draining, DrainRequested)
		}
		rm.reasons[uid] = DrainRequested
	case Serve:
		if rm.reasons[uid] == LeaseExpired && target.State == list.Draining {
			return false
		}
		if target.State == list.Draining {
			rm.recordChange(target, list.Serving, "")
		}
	case Deregister:
		rm.recordChange(target, list.Deleted, "")
	}
	return true
}

func (rm *referenceModel) register(target list.Target) bool {
	old, known := rm.targets[target.UID]
	reason := rm.reasons[target.UID]
	sameProcess := known && target.BootMS == old.BootMS
	switch {
	case known && target.BootMS < old.BootMS:
		return false
	case sameProcess && target.Endpoint != old.Endpoint && reason != LeaseExpired:
		return false
	case !sameProcess:
		rm.recordChange(target, list.Serving, "")
	case reason == DrainRequested:
		target.State = list.Draining
		if old.Differs(target) {
			rm.recordChange(target, list.Draining, DrainRequested)
		}
	case old.Differs(target):
		rm.recordChange(target, list.Serving, "")
	}
	return true
}

// expire does what ExpireServers should do for a lease that is the server's.
func (rm *referenceModel) expire(uid string, state list.State) {
	if state == list.Serving {
		rm.recordChange(rm.targets[uid], list.Draining, LeaseExpired)
		return
	}
	rm.recordChange(rm.targets[uid], list.Deleted, "")
}

// TestModel applies random commands to the machine and to the reference model. Revisions rise by one, a refused command changes
// nothing, and a machine from a snapshot goes on as the one that wrote it.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := New()
		reference := &referenceModel{targets: map[string]list.Target{}, reasons: map[string]string{}, revisions: map[string]int64{}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			command := drawServerCommand(t, machine)
			before := mustSnapshot(t, machine)
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				machine = reread(t, machine)
			}
			accepted := applyToReference(machine, reference, command)
			result := machine.Apply(command)
			if (result.Err == nil) != accepted {
				t.Fatalf("%+v: %v, want accepted %v", command, result.Err, accepted)
			}
			if after := mustSnapshot(t, machine); result.Err != nil && !bytes.Equal(before, after) {
				t.Fatalf("%+v was refused (%v) and changed the state", command, result.Err)
			}
			compareWithReference(t, machine, reference)
		}
	})
}

func drawServerCommand(t *rapid.T, machine *Machine) Command {
	command := Command{
		Op:  rapid.SampledFrom([]Op{Register, Register, Register, Drain, Serve, Deregister, ExpireServers}).Draw(t, "op"),
		UID: rapid.SampledFrom([]string{"s-1", "s-2", "s-3"}).Draw(t, "uid"),
	}
	switch command.Op {
	case Register:
		endpoint := rapid.SampledFrom([]string{"10.0.0.1:80", "10.0.0.2:80"}).Draw(t, "endpoint")
		bootMS, leaseMS := rapid.Int64Range(0, 3).Draw(t, "boot"), rapid.SampledFrom([]int64{0, 2000}).Draw(t, "lease")
		command.Servers = []list.Registration{server(command.UID, endpoint, bootMS, leaseMS)}
	case ExpireServers:
		command.Expired = []ExpiredLease{{command.UID, rapid.Int64Range(0, machine.lastLease+1).Draw(t, "token")}}
		return command
	}
	if rapid.Bool().Draw(t, "compare-and-set") {
		expect := rapid.Int64Range(0, machine.Revision()).Draw(t, "expect")
		command.Expect = &expect
	}
	return command
}

// applyToReference applies a command to the reference model and returns whether it should be accepted. The effect of ExpireServers
// follows from the machine's entry and its fencing token, which the reference model does not have.
func applyToReference(machine *Machine, reference *referenceModel, command Command) bool {
	if command.Op != ExpireServers {
		return reference.apply(command)
	}
	entry, known := machine.Entry(command.UID)
	if known && entry.LeaseMS > 0 && entry.Lease == command.Expired[0].Lease {
		reference.expire(command.UID, entry.State)
	}
	return true
}

func compareWithReference(t *rapid.T, machine *Machine, reference *referenceModel) {
	if machine.Revision() != int64(len(reference.changes)) {
		t.Fatalf("revision %d after %d changes", machine.Revision(), len(reference.changes))
	}
	from := rapid.Int64Range(0, machine.Revision()).Draw(t, "from")
	got, ok := machine.ChangesSince(from)
	want := reference.changes[from:]
	same := len(got) == len(want) && (len(want) == 0 || reflect.DeepEqual(got, want))
	if !ok || !same {
		t.Fatalf("since %d: %v, %v, want %v", from, got, ok, want)
	}
	if len(reference.targets) != machine.Len() {
		t.Fatalf("%d servers, want %d", machine.Len(), len(reference.targets))
	}
	for uid, want := range reference.targets {
		if entry, _ := machine.Entry(uid); entry.Target != want || entry.Revision != reference.revisions[uid] {
			t.Fatalf("%s is %+v, want %+v at %d", uid, entry, want, reference.revisions[uid])
		}
	}
}
