// Package golden holds tests to what was recorded of a run. A golden trace plays fixed seeds and digests all that goes out, in its order; a
// golden file has a line for each scenario. Only tests use the package.
package golden

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// Scenario is a run that its seed repeats to the byte.
type Scenario struct {
	Name string // without a space
	Seed uint64
	Play func(t *testing.T, digest *Digest, seed uint64)
}

// CompareDigests plays each scenario in a subtest of its own and fails where its digest is not the recorded one, or where the file at path
// has lines of other scenarios. When the file is to be written anew, it is only if all scenarios were played.
func CompareDigests(t *testing.T, path string, scenarios []Scenario) {
	t.Helper()
	recorded := readLines(t, path)
	var lines []string
	for _, scenario := range scenarios {
		t.Run(fmt.Sprintf("%s-%d", scenario.Name, scenario.Seed), func(t *testing.T) {
			digest := NewDigest()
			scenario.Play(t, digest, scenario.Seed)
			line := digest.line(scenario.Name, scenario.Seed)
			lines = append(lines, line)
			if !writing() && !slices.Contains(recorded, line) {
				t.Errorf("not in %s: %s", path, line)
			}
		})
	}
	switch {
	case !writing() && len(recorded) != len(scenarios):
		t.Errorf("%s has %d lines, there are %d scenarios", path, len(recorded), len(scenarios))
	case writing() && len(lines) != len(scenarios):
		t.Errorf("%d of %d scenarios were played: %s is not written", len(lines), len(scenarios), path)
	case writing():
		writeLines(t, path, lines)
	}
}

// CompareLines fails where lines are not those of the file at path.
func CompareLines(t *testing.T, path string, lines []string) {
	t.Helper()
	if writing() {
		writeLines(t, path, lines)
		return
	}
	if err := firstDifference(readLines(t, path), lines); err != nil {
		t.Errorf("%s: %v", path, err)
	}
}

// firstDifference returns an error that names the first line that differs, nil where none does.
func firstDifference(recorded, lines []string) error {
	for i := range min(len(recorded), len(lines)) {
		if recorded[i] != lines[i] {
			return errors.Newf("line %d is %q, recorded is %q", i+1, lines[i], recorded[i])
		}
	}
	if len(recorded) != len(lines) {
		return errors.Newf("%d lines, recorded are %d", len(lines), len(recorded))
	}
	return nil
}

// writing reports whether golden files are to be written anew, which a change of behaviour asks for by GRADEUSHER_WRITE_GOLDEN=1.
func writing() bool { return os.Getenv("GRADEUSHER_WRITE_GOLDEN") == "1" }

// readLines returns the lines of a golden file; none if the file is to be written anew. The test fails where the file is missing or does
// not end with a line feed.
func readLines(t *testing.T, path string) []string {
	t.Helper()
	if writing() {
		return nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	complete, terminated := strings.CutSuffix(string(text), "\n")
	if !terminated {
		t.Fatalf("%s: the last line has no line feed", path)
	}
	return strings.Split(complete, "\n")
}

// writeLines writes a golden file anew, with its folder.
func writeLines(t *testing.T, path string, lines []string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
		t.Fatal(err)
	}
}
