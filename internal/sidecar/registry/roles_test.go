package registry

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

func applyRole(m *state.Machine, op state.Op, call state.RoleCall) {
	m.Apply(state.Command{Op: op, Role: &call})
}

// roleLessorScenario is a roleLessor with its state machine, on a clock of the test's.
type roleLessorScenario struct {
	t       *testing.T
	lessor  *roleLessor
	machine *state.Machine
	now     time.Time
}

// newRoleLessorScenario has a role d with a lease of 1 s, which a#1 owns and b#1 and c#1 wait for.
func newRoleLessorScenario(t *testing.T) *roleLessorScenario {
	t.Helper()
	lt := &roleLessorScenario{t: t, lessor: &roleLessor{}, machine: state.New(), now: time.Unix(1000, 0)}
	for _, process := range []string{"a#1", "b#1", "c#1"} {
		applyRole(lt.machine, state.Campaign, state.RoleCall{Name: "d", Process: process, TTLMS: 1000})
	}
	return lt
}

// renew tells whether the lease of a process on its only role is renewed.
func (lt *roleLessorScenario) renew(process string) bool {
	renewed, ok := lt.lessor.renew(lt.now, process, lt.machine.RolesOf(process))
	return ok && renewed[0]
}

func (lt *roleLessorScenario) evaluate() state.RoleCall {
	return lt.lessor.evaluate(lt.now, lt.machine)
}

func (lt *roleLessorScenario) advance(d time.Duration) { lt.now = lt.now.Add(d) }

// startWithRenewals starts the term 7, in which a and b renew for five seconds, and c does not.
func (lt *roleLessorScenario) startWithRenewals() {
	lt.t.Helper()
	lt.lessor.start(7)
	lt.evaluate()
	for range 20 {
		lt.advance(250 * time.Millisecond)
		if !lt.renew("a#1") {
			lt.t.Fatal("a renewal is refused")
		}
		lt.renew("b#1")
		call := lt.evaluate()
		if len(call.Ended) > 0 || len(call.TimedOut) > 1 || len(call.TimedOut) == 1 && call.TimedOut[0].Process != "c#1" {
			lt.t.Fatalf("%+v", call)
		}
		applyRole(lt.machine, state.EndRoleLeases, call)
	}
}

// TestRoleLessor goes through lease terms: renewed leases run on, others end, an end that is decided is not taken back by a renewal, and a
// candidate that times out goes before it could own the role.
func TestRoleLessor(t *testing.T) {
	scenario := newRoleLessorScenario(t)
	if _, ok := scenario.lessor.renew(scenario.now, "a#1", scenario.machine.RolesOf("a#1")); ok || len(scenario.lessor.evaluate(scenario.now.Add(time.Hour), scenario.machine).Ended) > 0 {
		t.Error("it counts leases without leading")
	}
	scenario.startWithRenewals()
	if role, _ := scenario.machine.Role("d"); len(role.Waiting) != 1 {
		t.Errorf("%v wait", role.Waiting)
	}
	scenario.advance(time.Second)
	if len(scenario.evaluate().Ended) > 0 {
		t.Error("it ends before its whole length")
	}
	scenario.advance(time.Millisecond)
	scenario.renew("b#1")
	call := scenario.evaluate()
	if len(call.Ended) != 1 || call.LeaseTerm != 7 || scenario.renew("a#1") {
		t.Errorf("%+v, and a renewal after that", call)
	}
	stale := call
	stale.LeaseTerm = 6
	applyRole(scenario.machine, state.EndRoleLeases, stale)
	if scenario.renew("b#1") {
		t.Error("an end of an earlier term counts")
	}
	applyRole(scenario.machine, state.StartLeaseTerm, state.RoleCall{})
	call.LeaseTerm = 1
	applyRole(scenario.machine, state.EndRoleLeases, call)
	if !scenario.renew("b#1") {
		t.Error("the next owner cannot renew")
	}
	scenario.checkBarred()
	scenario.lessor.start(8)
	scenario.evaluate()
	scenario.advance(time.Second)
	if len(scenario.evaluate().Ended) > 0 {
		t.Error("a new term does not give a whole lease")
	}
}

// checkBarred bars renewals of the owner b: its lease runs on, and ends though b renews other roles.
func (lt *roleLessorScenario) checkBarred() {
	lt.t.Helper()
	applyRole(lt.machine, state.Move, state.RoleCall{Name: "d", Force: true})
	if lt.renew("b#1") || len(lt.evaluate().Ended) > 0 {
		lt.t.Error("a barred owner can renew, or its lease ends at once")
	}
	lt.advance(1001 * time.Millisecond)
	lt.renew("b#1")
	if len(lt.evaluate().Ended) != 1 {
		lt.t.Error("a barred owner stays by renewing others")
	}
}

// TestRoleCalls has a role owned over HTTP, watched, moved and released.
func TestRoleCalls(t *testing.T) {
	node := startNode(t, nil)
	node.mustCall(http.MethodPost, "/v1/duties/d/campaign", `{"who":"a#1","ttl_ms":2000}`)
	watch := node.watch("/v1/duties?watch=1&who=b%231")
	if update := decodeUpdate[client.RolesUpdate](watch); !update.Complete || len(update.Roles) != 0 {
		t.Errorf("%+v is published to a process without roles", update)
	}
	node.mustCall(http.MethodPost, "/v1/duties/d/campaign", `{"who":"c#1","ttl_ms":2000}`)
	node.mustCall(http.MethodPost, "/v1/duties/d/campaign", `{"who":"b#1","ttl_ms":2000}`)
	if update := decodeUpdate[client.RolesUpdate](watch); update.Complete || len(update.Roles) != 1 || len(update.Roles[0].Waiting) != 1 {
		t.Errorf("%+v", update)
	}
	awaitRenewal(t, node)
	node.mustCall(http.MethodPost, "/v1/duties/d/checkpoint", `{"who":"a#1","epoch":1,"step_no":0,"step":"half"}`)
	node.mustCall(http.MethodPost, "/v1/duties/d/move", `{"to":"b"}`)
	node.mustCall(http.MethodPost, "/v1/duties/d/release", `{"who":"a#1","epoch":1,"step":"three quarters","step_no":1}`)
	update := decodeUpdate[client.RolesUpdate](watch)
	for len(update.Roles) != 1 || update.Roles[0].Epoch == 1 {
		update = decodeUpdate[client.RolesUpdate](watch)
	}
	if role := update.Roles[0]; !role.IsOwner("b#1") || role.Epoch != 2 || role.Step != "three quarters" || role.StepNo != 2 {
		t.Errorf("%+v", role)
	}
}

// awaitRenewal renews the leases of a#1 until that of its only role is renewed.
func awaitRenewal(t *testing.T, node testNode) {
	t.Helper()
	c, err := client.New([]string{node.address})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for end := time.Now().Add(waitTimeout); ; {
		renewal, err := c.RenewRoles(t.Context(), "a#1")
		if err == nil && len(renewal.Owned) == 1 && renewal.Owned[0].Renewed && renewal.Owned[0].Epoch == 1 {
			return
		}
		if time.Now().After(end) {
			t.Fatal(renewal, err)
		}
	}
}

// TestRoleCallsRefused makes calls that are refused: each is answered with a reason, and the roles stay as they were.
func TestRoleCallsRefused(t *testing.T) {
	node := startNode(t, nil)
	for _, process := range []string{"a#1", "c#1", "b#1"} {
		node.mustCall(http.MethodPost, "/v1/duties/d/campaign", `{"who":"`+process+`","ttl_ms":300000}`)
	}
	before := string(node.read(http.MethodGet, "/v1/duties?exact=1", ""))
	for _, test := range []struct {
		path, body string
		code       int
		reason     string
	}{
		{"/v1/duties/d/campaign", `{"who":"x#1","ttl_ms":300}`, 400, "too short for the margin of 103 ms"},
		{"/v1/duties/d/campaign", `{"who":"x","ttl_ms":3000}`, 400, "is no NAME#RUN"},
		{"/v1/duties/d/campaign", `{"who":"x#1","ttl_ms":3000,"colour":1}`, 400, "unknown field"},
		{"/v1/duties/" + strings.Repeat("d", 129) + "/campaign", `{"who":"x#1","ttl_ms":3000}`, 400, "128 letters"},
		{"/v1/duties/d/release", `{"who":"b#1","epoch":1}`, 409, "b#1 does not hold d under epoch 1"},
		{"/v1/duties/d/release", `{"who":"a#1","epoch":2}`, 400, "from the future"},
		{"/v1/duties/d/checkpoint", `{"who":"a#1","epoch":1,"step_no":4}`, 409, "d is at step 0, not 4"},
		{"/v1/duties/d/move", `{"to":"z"}`, 409, "does not wait"},
		{"/v1/duties/e/move", `{}`, 404, "no duty"},
		{"/v1/duties/renew", `{"who":"a"}`, 400, "is no NAME#RUN"},
	} {
		t.Run(test.reason, func(t *testing.T) {
			code, answer, _ := node.in(t).call(http.MethodPost, test.path, test.body)
			if code != test.code || !strings.Contains(answer.Reason, test.reason) {
				t.Errorf("%.60s %s: %d %q, want %d %q", test.path, test.body, code, answer.Reason, test.code, test.reason)
			}
		})
	}
	if after := string(node.read(http.MethodGet, "/v1/duties?exact=1", "")); after != before {
		t.Errorf("roles went from %s to %s", before, after)
	}
}
