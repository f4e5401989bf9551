package registry

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

func applyRole(m *state.Machine, op state.Op, c state.RoleCall) {
	m.Apply(state.Command{Op: op, Role: &c})
}

// TestRoleLessor goes through offices on a clock of the test's: renewed they run on, left they end, an end that is decided is
// not taken back by a renewal, and a candidate that is silent goes before it could be next.
func TestRoleLessor(t *testing.T) {
	l, m, now := &roleLessor{}, state.New(), time.Unix(1000, 0)
	for _, who := range []string{"a#1", "b#1", "c#1"} {
		applyRole(m, state.Campaign, state.RoleCall{Name: "d", Process: who, TTLMS: 1000})
	}
	renew := func(who string) (renewed bool) {
		all := m.RolesOf(who)
		on, ok := l.renew(now, who, all)
		return ok && on[0]
	}
	if _, ok := l.renew(now, "a#1", m.RolesOf("a#1")); ok || len(l.evaluate(now.Add(time.Hour), m).Ended) > 0 {
		t.Error("it counts leases without leading")
	}
	l.start(7)
	l.evaluate(now, m)
	for range 20 { // a and b renew, c is silent
		now = now.Add(250 * time.Millisecond)
		if !renew("a#1") {
			t.Fatal("a renewal is refused")
		}
		renew("b#1")
		c := l.evaluate(now, m)
		if len(c.Ended) > 0 || len(c.TimedOut) > 1 || len(c.TimedOut) == 1 && c.TimedOut[0].Process != "c#1" {
			t.Fatalf("%+v", c)
		}
		applyRole(m, state.EndRoleLeases, c)
	}
	if d, _ := m.Role("d"); len(d.Waiting) != 1 {
		t.Errorf("%v wait", d.Waiting)
	}
	if now = now.Add(1000 * time.Millisecond); len(l.evaluate(now, m).Ended) > 0 {
		t.Error("it ends before its whole length")
	}
	if now = now.Add(time.Millisecond); true {
		renew("b#1")
	}
	c := l.evaluate(now, m)
	if len(c.Ended) != 1 || c.LeaseTerm != 7 || renew("a#1") {
		t.Errorf("%+v, and a renewal after that", c)
	}
	stale := c
	stale.LeaseTerm = 6
	if applyRole(m, state.EndRoleLeases, stale); renew("b#1") {
		t.Error("an end of an earlier office counts")
	}
	m.Apply(state.Command{Op: state.StartLeaseTerm, Role: &state.RoleCall{}})
	c.LeaseTerm = 1
	applyRole(m, state.EndRoleLeases, c)
	if !renew("b#1") {
		t.Error("who comes next cannot renew")
	}
	applyRole(m, state.Move, state.RoleCall{Name: "d", Force: true})
	if renew("b#1") || len(l.evaluate(now, m).Ended) > 0 {
		t.Error("who is barred can renew, or is out at once")
	}
	now = now.Add(1001 * time.Millisecond)
	if renew("b#1"); len(l.evaluate(now, m).Ended) != 1 {
		t.Error("who is barred stays by renewing others")
	}
	l.start(8)
	l.evaluate(now, m)
	if now = now.Add(1000 * time.Millisecond); len(l.evaluate(now, m).Ended) > 0 {
		t.Error("a new office gives no whole lease")
	}
}

// TestRoleCalls has a duty held over HTTP, watched, moved and released; calls that make no sense are refused and change nothing.
func TestRoleCalls(t *testing.T) {
	at := start(t, nil)
	post := func(path, text string) (int, string) {
		t.Helper()
		code, p, _ := call(t, "POST", at, path, text)
		return code, p.Reason
	}
	if code, why := post("/v1/duties/d/campaign", `{"who":"a#1","ttl_ms":2000}`); code != 200 {
		t.Fatal(code, why)
	}
	resp, err := http.Get("http://" + at + "/v1/duties?watch=1&who=b%231")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	next := func() (n client.RolesUpdate) {
		t.Helper()
		for lines.Scan() {
			if len(lines.Bytes()) > 0 {
				if err := json.Unmarshal(lines.Bytes(), &n); err != nil {
					t.Fatal(err)
				}
				return n
			}
		}
		t.Fatal("the watch ended")
		return n
	}
	if n := next(); !n.Complete || len(n.Roles) != 0 {
		t.Errorf("%+v is told to one who has nothing", n)
	}
	post("/v1/duties/d/campaign", `{"who":"c#1","ttl_ms":2000}`)
	post("/v1/duties/d/campaign", `{"who":"b#1","ttl_ms":2000}`)
	if n := next(); n.Complete || len(n.Roles) != 1 || len(n.Roles[0].Waiting) != 1 {
		t.Errorf("%+v", n)
	}
	list := func() string {
		t.Helper()
		resp, err := http.Get("http://" + at + "/v1/duties?exact=1")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	before := list()
	for _, c := range []struct {
		path, text string
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
		if code, why := post(c.path, c.text); code != c.code || !strings.Contains(why, c.reason) {
			t.Errorf("%.60s %s: %d %q, want %d %q", c.path, c.text, code, why, c.code, c.reason)
		}
	}
	if after := list(); after != before {
		t.Errorf("duties went from %s to %s", before, after)
	}
	k, err := client.New([]string{at})
	if err != nil {
		t.Fatal(err)
	}
	defer k.Close()
	for end := time.Now().Add(waitTimeout); ; {
		r, err := k.RenewRoles(t.Context(), "a#1")
		if err == nil && len(r.Owned) == 1 && r.Owned[0].Renewed && r.Owned[0].Epoch == 1 {
			break
		}
		if time.Now().After(end) {
			t.Fatal(r, err)
		}
	}
	post("/v1/duties/d/checkpoint", `{"who":"a#1","epoch":1,"step_no":0,"step":"half"}`)
	post("/v1/duties/d/move", `{"to":"b"}`)
	post("/v1/duties/d/release", `{"who":"a#1","epoch":1,"step":"three quarters","step_no":1}`)
	n := next()
	for len(n.Roles) != 1 || n.Roles[0].Epoch == 1 {
		n = next()
	}
	if d := n.Roles[0]; !d.IsOwner("b#1") || d.Epoch != 2 || d.Step != "three quarters" || d.StepNo != 2 {
		t.Errorf("%+v", d)
	}
}
