package replication

import (
	"reflect"
	"testing"
)

// controls disable one protection each; the simulation must then find a violation. The seed is the one that found it last, so that
// the search is short: update it if a change of the core makes this slow.
var controls = map[string]struct {
	knobs TestingKnobs
	seed  uint64
}{
	"a wiped disk keeps its vote":                     {TestingKnobs{KeepIdentityOfLostDisk: true}, 26},
	"the tail answers without a majority":             {TestingKnobs{SkipReadConfirmation: true}, 28},
	"the head acknowledges what it alone holds":       {TestingKnobs{AcknowledgeAtHead: true}, 2},
	"any link may lead":                               {TestingKnobs{AllowAnyHead: true}, 4},
	"a joining link cuts off what it was not sent":    {TestingKnobs{TruncateOnJoin: true}, 4},
	"links take records of another epoch":             {TestingKnobs{AcceptAnyEpoch: true}, 4},
	"messages go out before the write they rest on":   {TestingKnobs{SendBeforeWrite: true}, 4},
	"a chain that is too short acknowledges":          {TestingKnobs{AllowShortChain: true}, 57},
	"a judgement is given before it is committed":     {TestingKnobs{SkipVerdictConfirmation: true}, 2},
	"phase one's finds are not taken over":            {TestingKnobs{IgnoreAcceptedViews: true}, 44},
	"a change that comes twice is not recognised":     {TestingKnobs{SkipDeduplication: true}, 5},
	"a tail that has just started answers reads":      {TestingKnobs{SkipMinReadIndex: true}, 1},
	"answers of a former life are taken":              {TestingKnobs{AcceptAnyIncarnation: true}, 783},
	"changes for a former life of the head are taken": {TestingKnobs{AcceptAnyHeadIncarnation: true}, 100},
	"the past is passed on":                           {TestingKnobs{SkipCurrentMajority: true}, 4},
}

func TestEveryProtectionIsNeeded(t *testing.T) {
	// Random faults rarely reveal these: see TestEpochsAreSealedBeforeTheyCountAsEmpty and TestFirstChangeOnSlowDisks.
	covered := TestingKnobs{PresumeUnacknowledged: true, FixedTimeouts: true}
	for name, c := range controls {
		covered = covered.with(c.knobs)
		t.Run(name, func(t *testing.T) {
			seed := c.seed
			_, err := simulateSeed(seed, seedFaults(seed), c.knobs, nil)
			if err == nil {
				r := sweep(1, uint64(envInt("REPLICATION_CONTROL_SEEDS", 3000)), c.knobs, true)
				seed, err = r.seed, r.err
			}
			if err == nil {
				t.Fatal("no invariant was violated without this protection")
			}
			t.Logf("seed %d: %v", seed, err)
			if _, err := simulateSeed(seed, seedFaults(seed), TestingKnobs{}, nil); err != nil {
				t.Errorf("an invariant is violated with the protection too: %v", err)
			}
		})
	}
	for i, all := 0, reflect.ValueOf(covered.with(scenarioKnobs)); i < all.NumField(); i++ {
		if !all.Field(i).Bool() {
			t.Errorf("neither a control nor a scenario disables %s", all.Type().Field(i).Name)
		}
	}
}

// with returns the knobs that are set in either of the two.
func (k TestingKnobs) with(others TestingKnobs) TestingKnobs {
	set, added := reflect.ValueOf(&k).Elem(), reflect.ValueOf(others)
	for i := range added.NumField() {
		if added.Field(i).Bool() {
			set.Field(i).SetBool(true)
		}
	}
	return k
}
