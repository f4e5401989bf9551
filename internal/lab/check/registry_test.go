package check

import (
	"slices"
	"testing"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/plan"
)

// TestRegistry checks histories and watches that are correct, and ones that are not.
func TestRegistry(t *testing.T) {
	f, err := plan.Parse("x.toml", []byte("states = \"x\"\nseconds = 1\n[load]\nrate = 1\n[fleet]\nsidecars = 1\n[keepers]\ncount = 3\n"))
	if err != nil {
		t.Fatal(err)
	}
	drawn, err := plan.Make(f, 1)
	if err != nil {
		t.Fatal(err)
	}
	read := func(at int64, rev int64, value int) ctl.RegistryCall {
		return ctl.RegistryCall{Outcome: "ok", Rev: rev, Value: value, Call: at, Return: at + 5}
	}
	write := func(at, expect, rev int64, value int, outcome ctl.CallOutcome) ctl.RegistryCall {
		return ctl.RegistryCall{Write: true, Outcome: outcome, Expect: expect, Rev: rev, Value: value, Call: at, Return: at + 5}
	}
	line := func(at, known, rev int64, all bool, n int) ctl.RegistryUpdate {
		return ctl.RegistryUpdate{Conn: 1, Watch: true, Cluster: "c", KnownRevision: known, Rev: rev, Complete: all, ServerCount: n, At: at}
	}
	complete := []ctl.RegistryUpdate{line(1, -1, 9, true, 4)}
	for name, test := range map[string]struct {
		wrote  []ctl.RegistryCall
		shown  []ctl.RegistryUpdate
		last   int64
		broken string
	}{
		"in order":                {[]ctl.RegistryCall{read(0, 3, 0), write(10, 3, 7, 1, "ok"), read(20, 7, 1)}, complete, 9, ""},
		"uncertain and done":      {[]ctl.RegistryCall{read(0, 3, 0), write(10, 3, 0, 1, "uncertain"), read(20, 3, 0), read(30, 8, 1)}, complete, 9, ""},
		"uncertain and not done":  {[]ctl.RegistryCall{read(0, 3, 0), write(10, 3, 0, 1, "uncertain"), write(20, 3, 6, 2, "ok"), read(30, 6, 2)}, complete, 9, ""},
		"conflict":                {[]ctl.RegistryCall{read(0, 3, 0), write(10, 3, 5, 1, "ok"), write(20, 3, 0, 2, "conflict"), read(30, 5, 1)}, complete, 9, ""},
		"an answer too old":       {[]ctl.RegistryCall{read(0, 3, 0), write(10, 3, 7, 1, "ok"), read(20, 3, 0)}, complete, 9, "linearizable"},
		"a write lost":            {[]ctl.RegistryCall{read(0, 3, 0), write(10, 3, 7, 1, "ok"), write(20, 3, 8, 2, "ok")}, complete, 9, "linearizable"},
		"undone after a read":     {[]ctl.RegistryCall{read(0, 3, 0), write(10, 3, 0, 1, "uncertain"), read(20, 4, 1), read(30, 3, 0)}, complete, 9, "linearizable"},
		"a conflict with nobody":  {[]ctl.RegistryCall{read(0, 3, 0), write(10, 3, 0, 2, "conflict"), read(20, 3, 0)}, complete, 9, "linearizable"},
		"changes":                 {nil, []ctl.RegistryUpdate{line(1, 5, 6, false, 1), line(2, 5, 6, false, 0), line(3, 5, 9, false, 3)}, 9, ""},
		"the whole list, resumed": {nil, []ctl.RegistryUpdate{line(1, 5, 8, true, 1), line(2, 5, 9, false, 1)}, 9, ""},
		"a gap":                   {nil, []ctl.RegistryUpdate{line(1, 5, 6, false, 1), line(3, 5, 9, false, 1)}, 9, "revisions"},
		"a gap at the start":      {nil, []ctl.RegistryUpdate{line(1, 5, 9, false, 1)}, 9, "revisions"},
		"a repeat":                {nil, []ctl.RegistryUpdate{line(1, 8, 9, false, 1), line(3, 8, 9, false, 1)}, 9, "revisions"},
		"back":                    {nil, []ctl.RegistryUpdate{line(1, 10, 9, true, 4)}, 9, "revisions"},
		"not told":                {nil, []ctl.RegistryUpdate{line(1, -1, 8, true, 4)}, 9, "told-all"},
		"nobody leads":            {nil, complete, 0, "told-all"},
	} {
		t.Run(name, func(t *testing.T) {
			e := &Evidence{Plan: drawn, RegistryCalls: test.wrote, RegistryUpdates: test.shown, Last: Last{"c", test.last}, Runs: make([][]Run, 1)}
			verdicts := Invariants(e)
			var want []string
			if test.broken != "" {
				want = []string{test.broken}
			}
			if got := broken(verdicts); !slices.Equal(got, want) {
				t.Errorf("broken %v, want %v", got, want)
			}
			if unseen := slices.Contains(Names(verdicts, NotSeen), "linearizable"); unseen != (len(test.wrote) == 0) {
				t.Errorf("linearizable not observed: %v", unseen)
			}
		})
	}
	// Nothing changed while the load ran: that everybody received the last revision proves nothing.
	e := &Evidence{Plan: drawn, Start: 100, RegistryUpdates: complete, Last: Last{"c", 9}, Runs: make([][]Run, 1)}
	if got := Names(Invariants(e), Passed); !slices.Equal(got, []string{"revisions"}) {
		t.Errorf("without a change: held %v", got)
	}
}
