package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gradeusher.example/gradeusher/internal/system/admin"
	"gradeusher.example/gradeusher/internal/system/controlstate"
)

// newAdminServer serves the admin API of a control-plane node and of a proxy, at one address.
func newAdminServer(t *testing.T, current bool) (address string, state *controlstate.State) {
	t.Helper()
	return newAdminServerWith(t, admin.NodeStatus{Current: current})
}

// newAdminServerWith serves a status, with the fields filled in that it leaves open.
func newAdminServerWith(t *testing.T, status admin.NodeStatus) (address string, state *controlstate.State) {
	t.Helper()
	status.Version, status.Node, status.Epoch, status.Chain = admin.Version, "n", 3, []string{"127.0.0.1"}
	status.Voters = []admin.Voter{{Address: "127.0.0.1", Zone: "hall", Region: "town"}}
	status.Number, status.Evacuated, status.ListOwner = 1, []string{"hall"}, "127.0.0.1"
	status.Proxies = []admin.ProxyProgress{{Node: "edge", Acknowledged: 1}}
	status.Quota = &admin.QuotaStatus{Owner: "127.0.0.1", Tenants: []admin.TenantQuota{{Tenant: "faculty", Fraction: 0.5, Extra: 2, RatePerSecond: 9,
		Holders: []admin.QuotaHolder{{Node: "edge", Fraction: 0.5, Extra: 2, RatePerSecond: 9, AgeMS: 40}}}}}
	state, err := controlstate.Empty().Apply(controlstate.Change{Op: controlstate.OpEvacuate, Zone: "hall"}.Record(1))
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.Handle("/backup", admin.BackupHandler(func(context.Context) (*controlstate.State, error) { return state, nil }))
	mux.Handle("/status", admin.ProxyHandler(func() any { // one document for both: each reader passes over the other's fields
		return struct {
			admin.NodeStatus
			Ready   bool                   `json:"ready"`
			Choice  string                 `json:"choice"`
			Refused []admin.TenantRefusals `json:"refused"`
		}{status, true, "s-1 m hall: evacuated\n", []admin.TenantRefusals{{Tenant: "faculty", Limiter: "edge", OverLimit: 3, Last: "over the limit"}}}
	}))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), state
}

func runCommand(args ...string) (code int, out, said string) {
	var stdout, stderr bytes.Buffer
	code = run(args, streams{strings.NewReader(""), &stdout, &stderr, func(string) string { return "" }})
	return code, stdout.String(), stderr.String()
}

func TestSystemStatus(t *testing.T) {
	t.Parallel()
	address, _ := newAdminServer(t, true)
	code, out, said := runCommand("system", "status", address)
	if code != 0 {
		t.Fatal(code, said)
	}
	for _, want := range []string{"view 3, chain 127.0.0.1\n", "record 1, revision 0, evacuated zones: hall\n", "duty list: 127.0.0.1\n",
		"link 1 of 1", " n: current,", "proxy edge ", ", newest, silent for 0 ms, follows n\n", "duty quota: 127.0.0.1\n",
		"tenant faculty              0.500 of the limit and 2 tokens leased, 9.0 requests/s asked\n",
		"  limiter edge              0.500 of the limit and 2 tokens, 9.0 requests/s asked, 40 ms old\n"} {
		if !strings.Contains(out, want) {
			t.Errorf("%q is not in:\n%s", want, out)
		}
	}
	code, out, said = runCommand("system", "status", "--json", address)
	var f admin.Fleet
	if err := json.Unmarshal([]byte(out), &f); code != 0 || err != nil || f.Epoch != 3 || f.Version != admin.Version {
		t.Error(code, said, err, f)
	}
	stale, _ := newAdminServer(t, false)
	if code, out, said := runCommand("system", "status", stale); code != exitFailure || !strings.Contains(out, "NOT current") {
		t.Error(code, out, said)
	}
}

// TestSystemStatusReportsTolerance: a deployment that cannot bear the losses that it promises to bear looks healthy until the loss comes.
func TestSystemStatusReportsTolerance(t *testing.T) {
	t.Parallel()
	const remedy = "3 keepers with a disk vote and 5 are needed: run keepers on 2 more machines with a disk, or lower [tolerance]"
	short := admin.Capacity{Nodes: 3, Observers: 2, Voters: 3, VotersDesired: 5, VotersTimedOut: 1, ChainReplicas: 3, ChainReplicasRequired: 3, Remedy: remedy}
	complete := admin.Capacity{ToleranceMet: true, Nodes: 5, Voters: 5, VotersDesired: 5, ChainReplicas: 5, ChainReplicasRequired: 3}
	for _, test := range []struct {
		status    admin.NodeStatus
		code      int
		out, said string
	}{
		{admin.NodeStatus{Current: true, Capacity: &short}, exitFailure,
			"\ntolerance: NOT borne, 3 of 5 voters (1 silent), 3 links (3 needed), 2 observers\n", "[tolerance] names: " + remedy + "\n"},
		{admin.NodeStatus{Current: true, Capacity: &complete}, 0, "\ntolerance: borne, 5 of 5 voters (0 silent), 5 links (3 needed), 0 observers\n", ""},
		{admin.NodeStatus{Capacity: &short}, exitFailure, " n: NOT current,", "no keeper is current"},
		{admin.NodeStatus{Current: true, Observer: true, Capacity: &complete}, 0, "\nobserver 127.0.0.1:", ""},
	} {
		address, _ := newAdminServerWith(t, test.status)
		code, out, said := runCommand("system", "status", address)
		if code != test.code || !strings.Contains(out, test.out) || !strings.Contains(said, test.said) || (said == "") != (test.said == "") {
			t.Errorf("%+v: exit %d, %s%s", test.status, code, out, said)
		}
	}
}

func TestSystemStatusWait(t *testing.T) {
	t.Parallel()
	address, _ := newAdminServer(t, true)
	for _, test := range []struct {
		change, length string
		code           int
		text           string
	}{
		{"number:1", "10s", 0, "record 1 is in force at 1 keepers and 1 proxies"},
		{"1", "10s", 0, "record 1 is in force"},
		{"number:2", "50ms", exitFailure, "missing: keeper n, at record 1; proxy edge, at record 1"},
		{"revision:1", "50ms", exitFailure, "missing: revision 1 at any keeper"},
		{"epoch:1", "1s", exitUsage, "number:N or revision:N"},
		{"1", "2h", exitUsage, "--for"},
	} {
		code, out, said := runCommand("system", "status", address, "--wait", test.change, "--for", test.length)
		if code != test.code || !strings.Contains(out+said, test.text) {
			t.Errorf("%s: exit %d, %s%s", test.change, code, out, said)
		}
	}
}

func TestSystemWhy(t *testing.T) {
	t.Parallel()
	address, _ := newAdminServer(t, true)
	for _, test := range []struct {
		args []string
		code int
		text string
	}{
		{nil, 0, "\ns-1 m hall: evacuated\n"},
		{[]string{"s-1"}, 0, "\ns-1 m hall: evacuated\n"},
		{[]string{"s-2"}, exitFailure, `server "s-2" is not on the list`},
	} {
		code, out, said := runCommand(append([]string{"system", "why", address}, test.args...)...)
		if code != test.code || !strings.Contains(out+said, test.text) || !strings.Contains(out, "proxy n: ready, ") {
			t.Errorf("%v: exit %d, %s%s", test.args, code, out, said)
		}
	}
}

func TestSystemBackupAndRestore(t *testing.T) {
	t.Parallel()
	address, state := newAdminServer(t, true)
	file, dir := filepath.Join(t.TempDir(), "backup"), filepath.Join(t.TempDir(), "data")
	const holds = "record 1, revision 0, evacuated zones: hall\n"
	for _, test := range []struct {
		args []string
		code int
		text string
	}{
		{[]string{"backup", file, "--from", address}, 0, holds},
		{[]string{"backup", file, "--from", address}, exitFailure, "choose another file name"},
		{[]string{"restore", file}, 0, holds},
		{[]string{"restore", file, "--to", dir}, 0, "restored into " + dir + "\n" + holds},
		{[]string{"restore", file, "--to", dir}, exitFailure, "empty data directory"},
		{[]string{"backup", file + "2", "--disk", dir}, 0, holds},
		{[]string{"backup", file + "3", "--disk", file}, exitFailure, "not the data directory of a keeper"},
		{[]string{"backup", file + "3"}, exitUsage, "--from"},
		{[]string{"backup", file + "3", "--disk", dir, "--from", address}, exitUsage, "--from"},
		{[]string{"restore", dir, "--to", dir}, exitFailure, "cannot read the backup"},
	} {
		if code, out, said := runCommand(append([]string{"system"}, test.args...)...); code != test.code || !strings.Contains(out+said, test.text) {
			t.Errorf("%v: exit %d, %s%s", test.args, code, out, said)
		}
	}
	if data, err := os.ReadFile(file); err != nil || !bytes.Equal(data, state.Encode()) {
		t.Error("the backup is not the encoding of the state", err)
	}
}

// TestSystemWhyTenant: why requests of a tenant were refused, and that none were.
func TestSystemWhyTenant(t *testing.T) {
	t.Parallel()
	address, _ := newAdminServer(t, true)
	code, out, said := runCommand("system", "why", address, "--tenant", "faculty")
	if want := "tenant faculty: 3 over the limit, 0 without a verdict; last over the limit, 0 ms ago; limiter edge"; code != 0 || !strings.HasPrefix(out, want) {
		t.Error(code, out, said)
	}
	code, out, said = runCommand("system", "why", address, "--tenant", "other")
	if want := "tenant other: this proxy has refused nothing"; code != 0 || !strings.HasPrefix(out, want) {
		t.Error(code, out, said)
	}
}
