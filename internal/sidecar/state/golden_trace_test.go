package state

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"gradeusher.example/gradeusher/balance/routes"
	"gradeusher.example/gradeusher/internal/sidecar/list"
	"gradeusher.example/gradeusher/internal/testsupport/golden"
)

// goldenFile has a line for every traceInterval commands of a seed: counts so far and the first digits of the digest.
const goldenFile = "testdata/golden_trace.txt"

const (
	traceSeeds    = 8
	traceCommands = 1000 // of one seed
	traceInterval = 100  // commands between two lines of the trace
	tracedDigits  = 24   // of a digest, in a line
)

// traceDrawer draws commands, valid and invalid ones, from a seed.
type traceDrawer struct {
	rng   *rand.Rand
	nowMS int64
}

func (d *traceDrawer) one(words ...string) string { return words[d.rng.IntN(len(words))] }
func (d *traceDrawer) chance(percent int) bool    { return d.rng.IntN(100) < percent }

// near is a number, or rarely one beside it.
func (d *traceDrawer) near(n int64) int64 {
	if d.chance(20) {
		return n + int64(d.rng.IntN(3)) - 1
	}
	return n
}

func (d *traceDrawer) command(machine *Machine) Command {
	switch n := d.rng.IntN(100); {
	case n < 2:
		return Command{Op: FoundCluster, Cluster: d.one("", "c-1", "c-2")}
	case n < 6:
		return Command{Op: Op(d.one(string(SetNode), string(RemoveNode))), Node: &Node{Name: d.one("", "k-1", "k-2", "k-3"), HTTPAddress: d.one("127.0.0.1:80", "[::1]:81", "host")}}
	case n < 16:
		return d.routes(machine)
	case n < 45:
		return d.servers(machine)
	default:
		return d.role(machine)
	}
}

func (d *traceDrawer) routes(machine *Machine) Command {
	table := routes.Table{}
	for _, name := range []string{"a", "b", "c", "d"} {
		if d.chance(40) {
			table = append(table, routes.Rule{Name: name, Source: routes.Match{"service": "*"}, Service: routes.Match{"service": "*"},
				Destinations: []routes.Destination{{Weight: float64(d.rng.IntN(4)), Match: routes.Match{"version": "x"}}}})
		}
	}
	c := Command{Op: SetRoutes, Rules: table}
	if current, ok := machine.RoutesAt(machine.Generation()); ok && table.Check() == nil && d.chance(50) {
		base := d.near(machine.Generation())
		c = Command{Op: SetRoutes, Base: &base, Ops: routes.Diff(current, table.Canonical())}
	}
	if d.chance(20) {
		expect := d.near(machine.Generation())
		c.Expect = &expect
	}
	return c
}

func (d *traceDrawer) servers(machine *Machine) Command {
	uid := d.one("s-1", "s-2", "s-3", "s-4", "s-5")
	entry, _ := machine.Entry(uid)
	command := Command{Op: Op(d.one(string(Register), string(Register), string(Drain), string(Serve), string(Deregister), string(ExpireServers))), UID: uid}
	switch command.Op {
	case Register:
		for range d.rng.IntN(3) {
			command.Servers = append(command.Servers, list.Registration{Target: list.Target{UID: uid, Endpoint: d.one("10.0.0.1:80", "10.0.0.1:80", "10.0.0.2:80", "x"),
				Zone: d.one("a", "b"), State: list.Serving, BootMS: d.near(entry.BootMS)}, LeaseMS: int64(d.rng.IntN(2)) * 3000})
			uid = d.one("s-1", "s-2", "s-3", "s-4", "s-5")
		}
	case ExpireServers:
		command.Expired = []ExpiredLease{{uid, d.near(entry.Lease)}}
	}
	if d.chance(25) {
		expect := d.near(entry.Revision)
		command.Expect = &expect
	}
	return command
}

func (d *traceDrawer) role(machine *Machine) Command {
	name, who := d.one("d-1", "d-2", "d-3", "d-4", "d-5"), d.one("a#1", "a#2", "b#1", "c#1", "e#1")
	current, _ := machine.Role(name)
	if current.Owner != nil && d.chance(60) {
		who = current.Owner.Process
	}
	call := RoleCall{Name: name, Process: who, Location: d.one("", "x", "y"), RoleLocation: d.one("", "x"), Load: int64(d.rng.IntN(4)) - int64(d.rng.IntN(20)/19),
		TTLMS: 3000 - int64(d.rng.IntN(20)/19)*2900, Epoch: d.near(current.Epoch), Successor: d.one("", "", "a", "b#1"), Rejoin: d.chance(60), Failed: d.chance(40),
		Force: d.chance(30), NowMS: d.nowMS}
	op := Op(d.one(string(Campaign), string(Campaign), string(Campaign), string(Withdraw), string(Release), string(Release), string(Move),
		string(Checkpoint), string(Forget), string(EndRoleLeases), string(StartLeaseTerm)))
	if op == Checkpoint || d.chance(10) {
		step := d.near(current.StepNo)
		call.StepNo, call.Step = &step, d.one("half", "done")
	}
	switch op {
	case Forget:
		call.IdleRoles, call.IdleMS, call.StepNo = []string{d.one("d-1", "d-2", "d-3"), "d-4"}, int64(d.rng.IntN(4))*600, nil
	case EndRoleLeases:
		call.LeaseTerm = d.near(machine.LeaseTerm())
		call.Ended, call.TimedOut, call.Due = []LeaseRef{{Name: name, Epoch: call.Epoch}}, []LeaseRef{{Name: d.one("d-1", "d-2"), Process: who}}, machine.DueRoles(d.nowMS)
	}
	return Command{Op: op, Role: &call}
}

// traceMachine applies the commands of one seed, each as the log encodes it, and digests the commands, their results and the
// snapshots. One command in fifty goes to a machine that was read from a snapshot, one in two hundred to one of a backup.
func traceMachine(t *testing.T, seed uint64) []string {
	t.Helper()
	draw := &traceDrawer{rng: rand.New(rand.NewPCG(seed, 1)), nowMS: 1_000_000}
	machine, digest, refused := New(), golden.NewDigest(), 0
	var lines []string
	backup := reread(t, machine)
	for applied := 1; applied <= traceCommands; applied++ {
		draw.nowMS += int64(draw.rng.IntN(2000))
		switch n := draw.rng.IntN(200); {
		case n == 0:
			machine = traceRestore(t, backup, machine)
		case n == 1:
			backup = reread(t, machine)
		case n < 6:
			machine = reread(t, machine)
		}
		text, err := json.Marshal(draw.command(machine))
		if err != nil {
			t.Fatal(err)
		}
		command, err := Decode(text)
		if err != nil {
			t.Fatal(err)
		}
		result := machine.Apply(command)
		if result.Err != nil {
			refused++
		}
		traceResult(t, digest, text, result)
		traceSnapshot(t, digest, machine)
		if applied%traceInterval == 0 {
			lines = append(lines, fmt.Sprintf("seed %d command %d refused %d rev %d gen %d duties %d digest %s", seed, applied, refused, machine.Revision(), machine.Generation(), machine.RoleRevision(), digest.Hex()[:tracedDigits]))
		}
	}
	return lines
}

func traceRestore(t *testing.T, backup, m *Machine) *Machine {
	t.Helper()
	restored := reread(t, backup)
	restored.RaiseRevision(m.Revision() + 1)
	if err := restored.CarryOverRoles(m); err != nil {
		t.Fatal(err)
	}
	return restored
}

func traceResult(t *testing.T, digest *golden.Digest, command []byte, r Result) {
	t.Helper()
	changes, err := json.Marshal(r.Changes)
	if err != nil {
		t.Fatal(err)
	}
	role, err := json.Marshal(r.Role)
	if err != nil {
		t.Fatal(err)
	}
	refusal, err := json.Marshal(r.Err)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = fmt.Fprintf(digest, "%s: %d %s %d %t %t %s %t %s\n", command, r.Revision, changes, r.Generation, r.RoutesChanged, r.BaseMoved, role, r.RolesChanged, refusal)
}

func traceSnapshot(t *testing.T, digest *golden.Digest, m *Machine) {
	t.Helper()
	text, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	_, _ = digest.Write(text)
}

// TestGoldenTrace applies commands that are drawn from seeds, and compares digests of the bytes of commands, results and
// snapshots with the file. GRADEUSHER_WRITE_GOLDEN=1 writes it anew.
func TestGoldenTrace(t *testing.T) {
	var lines []string
	for seed := range uint64(traceSeeds) {
		lines = append(lines, traceMachine(t, seed)...)
	}
	golden.CompareLines(t, goldenFile, lines)
}
