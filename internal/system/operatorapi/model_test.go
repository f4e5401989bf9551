package operatorapi

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// modelHistory is what operators and readers observed.
type modelHistory struct {
	mu           sync.Mutex
	changes      []*modelChange
	reads        []modelRead
	observations []zoneObservation
	cluster      *modelCluster
}

// modelRead is a response of Config.Read.
type modelRead struct {
	startedAt, endedAt time.Duration
	body               string
}

// zoneObservation records whether a zone was evacuated at some time.
type zoneObservation struct {
	at        time.Duration
	zone      string
	evacuated bool
}

func (h *modelHistory) add(o *modelChange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes = append(h.changes, o)
}

// observe records every 10 to 150 ms which zones are evacuated and what Config.Read returns, until ctx ends.
func (h *modelHistory) observe(ctx context.Context) {
	w := h.cluster
	for ctx.Err() == nil {
		time.Sleep(w.randomDuration(10*time.Millisecond, 150*time.Millisecond))
		w.mu.Lock()
		for _, zone := range modelZones {
			h.observations = append(h.observations, zoneObservation{w.elapsed(), zone, w.state.Evacuated[zone]})
		}
		w.mu.Unlock()
		r, err := http.NewRequestWithContext(context.WithoutCancel(ctx), http.MethodGet, "/Config.Read", nil)
		if err != nil {
			return
		}
		read := modelRead{startedAt: w.elapsed()}
		if a := w.sendRequest(w.nodes[w.randomDuration(0, time.Duration(len(w.nodes)))], r); a != nil && a.Code == http.StatusOK {
			read.endedAt, read.body = w.elapsed(), a.Body.String()
			h.reads = append(h.reads, read)
		}
	}
}

var modelZones = []string{"north", "south"}

// longHistory returns a state that no longer has its oldest changes in its history, and some of the changes that led to it: changes
// that are no longer in the history, the oldest ones that are, and the newest.
var longHistory = sync.OnceValues(func() (*controlstate.State, []*modelChange) {
	s, all := controlstate.Empty(), []*modelChange(nil)
	for i := range int64(controlstate.MaxHistory + 20) {
		o := &modelChange{revision: i + 1}
		o.change = controlstate.Change{Op: controlstate.OpReplace, Base: i, Body: modelConfig(i, i+1, "past")}
		next, err := s.Apply(o.change.Record(s.Seq + 1))
		if err != nil {
			return s, nil
		}
		s, all = next, append(all, o)
	}
	return s, slices.Concat(all[:5], all[20:25], all[len(all)-5:])
})

// simulate runs eight operators that change the configuration and two for each zone, which send changes through up to five faulty nodes.
func simulate(t *testing.T, seed uint64, knobs TestingKnobs, chain chainKnobs) *modelHistory {
	t.Helper()
	start, old := controlstate.Empty(), []*modelChange(nil)
	if seed%3 == 0 {
		start, old = longHistory()
	}
	out := &modelHistory{}
	bubble.Test(t, func(t *testing.T) {
		w := newModelCluster(seed, start, knobs, chain)
		for _, o := range old {
			w.applied[changeKey(o.change)] = 0
		}
		out.cluster = w
		ctx, stop := context.WithCancel(t.Context())
		var operators, others sync.WaitGroup
		for i := range 8 {
			operators.Go(func() { w.runConfigOperator(i, 6, old, out.add) })
		}
		for _, zone := range modelZones {
			for range 2 {
				operators.Go(func() { w.runZoneOperator(zone, 8, out.add) })
			}
		}
		others.Go(func() { w.injectFaults(ctx) })
		others.Go(func() { out.observe(ctx) })
		operators.Wait()
		stop()
		others.Wait()
		w.pending.Wait() // let delayed requests arrive
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, zone := range modelZones {
			out.observations = append(out.observations, zoneObservation{w.elapsed(), zone, w.state.Evacuated[zone]})
		}
	})
	return out
}

// violations lists the violations in a history; undecided reports that the check of some part of it did not finish in time.
func (h *modelHistory) violations(within time.Duration) (wrong []string, undecided bool) {
	wrong = slices.Concat(h.zoneViolations(), h.configViolations(), h.readViolations())
	results := map[string]porcupine.CheckResult{"the configuration": h.linearizableConfig(within)}
	for _, zone := range modelZones {
		results["zone "+zone] = h.linearizableZone(zone, within)
	}
	for what, result := range results {
		switch result {
		case porcupine.Illegal:
			wrong = append(wrong, what+" is not linearizable")
		case porcupine.Unknown:
			undecided = true
		}
	}
	return wrong, undecided
}

// zoneViolations lists the changes of zones that got a response other than 200 and 503.
func (h *modelHistory) zoneViolations() (wrong []string) {
	for _, change := range h.changes {
		if change.change.Zone != "" && change.status != 0 && change.status != http.StatusOK {
			wrong = append(wrong, fmt.Sprintf("%s got %d", change.path(), change.status))
		}
	}
	return wrong
}

// configViolations lists the changes of the configuration whose response contradicts the applied state or the response to another
// change.
func (h *modelHistory) configViolations() (wrong []string) {
	winner := map[int64]string{} // base -> key of the change that was acknowledged
	for _, change := range h.changes {
		if change.change.Zone != "" {
			continue
		}
		base, key := change.change.Base, changeKey(change.change)
		appliedAt, applied := h.cluster.applied[key]
		if change.status >= 400 && applied {
			wrong = append(wrong, fmt.Sprintf("on version %d: applied and rejected with %d", base, change.status))
		}
		if change.status != http.StatusOK {
			continue
		}
		if !applied || appliedAt > change.endedAt {
			wrong = append(wrong, fmt.Sprintf("on version %d: acknowledged and not applied", base))
		}
		if other := winner[base]; other != "" && other != key {
			wrong = append(wrong, fmt.Sprintf("on version %d: two changes acknowledged", base))
		}
		winner[base] = key
		if want := fmt.Sprintf(`{"revision":%d}`, change.revision); change.body != want {
			wrong = append(wrong, fmt.Sprintf("on version %d: the response %s is not the one for revision %d", base, change.body, change.revision))
		}
	}
	return wrong
}

// readViolations lists the reads that returned a configuration that was never current.
func (h *modelHistory) readViolations() (wrong []string) {
	for _, read := range h.reads {
		known := slices.Contains(slices.Collect(maps.Values(h.cluster.configurations)), read.body)
		if !known {
			wrong = append(wrong, "read a configuration that was never current: "+read.body)
		}
	}
	return wrong
}

func TestModel(t *testing.T) {
	seeds, err := strconv.ParseUint(cmp.Or(os.Getenv("CONTROL_SEEDS"), "60"), 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	counts, statuses := map[string]int{}, map[int]int{}
	for seed := range seeds {
		h := simulate(t, seed, TestingKnobs{}, chainKnobs{})
		if wrong, undecided := h.violations(2 * time.Minute); len(wrong) > 0 || undecided {
			t.Fatalf("seed %d (undecided: %v): %s", seed, undecided, strings.Join(wrong, "\n"))
		}
		for what, n := range h.cluster.eventCounts {
			counts[what] += n
		}
		for _, o := range h.changes {
			statuses[o.status]++
		}
	}
	for _, what := range slices.Sorted(maps.Keys(counts)) {
		t.Logf("%6d %s", counts[what], what)
	}
	t.Logf("responses by status (0: no definite response): %v", statuses)
	for _, what := range []string{"superseded", "confirmed again", "request waited through a freeze", "request delayed", "request redirected", "end of a connection lost", "change decided twice", "kill", "snapshot"} {
		if counts[what] == 0 {
			t.Errorf("%s: never happened", what)
		}
	}
	if statuses[http.StatusPreconditionFailed] == 0 || statuses[0] == 0 || statuses[http.StatusOK] == 0 {
		t.Error("some kinds of responses never occurred")
	}
}

func faults(names ...string) map[string]bool {
	out := map[string]bool{}
	for _, what := range names {
		out[what] = true
	}
	return out
}

// TestModelControls disables one protection in each subtest. The same simulations must then find a violation.
func TestModelControls(t *testing.T) {
	for name, protections := range map[string]struct {
		api   TestingKnobs
		chain chainKnobs
	}{
		"changes are forgotten and refused":       {chain: chainKnobs{forgetHistoryAndReject: true}},
		"evacuations are not fenced":              {chain: chainKnobs{ignoreFences: true}},
		"a keeper refuses by what it alone holds": {chain: chainKnobs{rejectByLocalState: true}},
		"an order in force leaves no record":      {chain: chainKnobs{omitRecordsInForce: true, frequentFaults: faults("change delayed")}},
		"the fence is what a majority told later": {api: TestingKnobs{FenceByConfirmedState: true},
			chain: chainKnobs{frequentFaults: faults("slow round", "caller's connection reset", "end of a connection lost")}},
		"orders are taken without a fence": {api: TestingKnobs{SubmitWithoutRedirect: true}},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3000) {
				if wrong, _ := simulate(t, seed, protections.api, protections.chain).violations(200 * time.Millisecond); len(wrong) > 0 {
					t.Logf("seed %d: %s", seed, wrong[0])
					return
				}
			}
			t.Error("no violation was found without the protection")
		})
	}
}

const endOfTime = math.MaxInt64
