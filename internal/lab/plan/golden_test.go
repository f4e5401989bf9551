package plan

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
)

const goldenPlans = "testdata/golden_plans.txt"

// TestGoldenPlans pins what experiment files and seeds draw: the digests of a plan's sidecars, servers, arrivals, steps and bands, and
// the two hashes that reports show. The digests are of values alone, so the names of Go's types and fields are no part of
// them; StepsHash has the names of the fields of Step, LinkEffect and model.Spec in it and changes with these.
func TestGoldenPlans(t *testing.T) {
	var got strings.Builder
	for _, name := range []string{"hitters-ten", "hitters-liar", "discovery-flap", "discovery-one-way", "choices-replace", "roll", "split"} {
		file, err := LoadFile(filepath.Join("..", "..", "..", "lab", name+".toml"))
		if err != nil {
			t.Fatal(err)
		}
		for seed := uint64(1); seed <= 3; seed++ {
			plan, err := Make(file, seed)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&got, "%s %d sidecars %s servers %s arrivals %s steps %s bands %s hashes %s %s\n", name, seed, digest(plan.Sidecars),
				digest(plan.Servers), digest(plan.Arrivals), digest(plan.Steps), digest(plan.Bands), plan.ArrivalsHash, plan.StepsHash)
		}
	}
	want, err := os.ReadFile(goldenPlans)
	if err != nil {
		t.Fatal(err)
	}
	if got.String() != string(want) {
		t.Errorf("the plans differ from %s:\n%s", goldenPlans, got.String())
	}
}

// digest is a hash of the values of all items, in their order.
func digest[T any](items []T) string {
	hash := xxhash.New()
	for _, item := range items {
		_, _ = fmt.Fprintf(hash, "%v\n", item) // a hash takes everything
	}
	return fmt.Sprintf("%d:%016x", len(items), hash.Sum64())
}
