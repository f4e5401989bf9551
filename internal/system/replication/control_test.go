package replication

import (
	"reflect"
	"testing"
)

// controls take one protection out each; the harness must then find something broken. The seed is where it did last, so
// that the search is short: bring it up to date when a change of the core makes this slow.
var controls = map[string]struct {
	hooks hooks
	seed  uint64
}{
	"a wiped disk keeps its vote":                     {hooks{keepVote: true}, 26},
	"the tail answers without a majority":             {hooks{blindRead: true}, 28},
	"the head acknowledges what it alone holds":       {hooks{earlyAck: true}, 2},
	"any link may lead":                               {hooks{anyHead: true}, 4},
	"a joining link cuts off what it was not sent":    {hooks{truncateAll: true}, 4},
	"links take records of another epoch":             {hooks{anyEpoch: true}, 4},
	"messages go out before the write they rest on":   {hooks{sendFirst: true}, 4},
	"a chain that is too short acknowledges":          {hooks{shortChain: true}, 57},
	"a judgement is given before it is committed":     {hooks{hastyVerdict: true}, 2},
	"phase one's finds are not taken over":            {hooks{ignoreAccepted: true}, 44},
	"a change that comes twice is not recognised":     {hooks{duplicateChange: true}, 5},
	"a tail that has just started answers reads":      {hooks{noFloor: true}, 1},
	"answers of a former life are taken":              {hooks{anyLife: true}, 783},
	"changes for a former life of the head are taken": {hooks{anyHeadLife: true}, 100},
	"the past is passed on":                           {hooks{alwaysCurrent: true}, 4},
}

func TestEveryProtectionIsNeeded(t *testing.T) {
	covered := hooks{presumeUnacknowledged: true} // see TestEpochsAreSealedBeforeTheyCountAsEmpty: chance hardly meets it
	for name, c := range controls {
		v, all := reflect.ValueOf(c.hooks), reflect.ValueOf(&covered).Elem()
		for i := range v.NumField() {
			if v.Field(i).Bool() {
				reflect.NewAt(all.Field(i).Type(), all.Field(i).Addr().UnsafePointer()).Elem().SetBool(true)
			}
		}
		t.Run(name, func(t *testing.T) {
			seed := c.seed
			_, err := simulate(seed, seedFaults(seed), c.hooks, nil)
			if err == nil {
				r := sweep(1, uint64(envInt("REPLICATION_CONTROL_SEEDS", 3000)), c.hooks, true)
				seed, err = r.seed, r.err
			}
			if err == nil {
				t.Fatal("nothing broke without this protection")
			}
			t.Logf("seed %d: %v", seed, err)
			if _, err := simulate(seed, seedFaults(seed), hooks{}, nil); err != nil {
				t.Errorf("it breaks with the protection too: %v", err)
			}
		})
	}
	for i, all := 0, reflect.ValueOf(covered); i < all.NumField(); i++ {
		if !all.Field(i).Bool() {
			t.Errorf("no control takes out %s", all.Type().Field(i).Name)
		}
	}
}
