package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	childVariable = "GRADEUSHER_TEST_CHILD" // in the environment of a process that is to be the command, not the tests
	ownerVariable = "GRADEUSHER_TEST_OWNER" // tells one test's processes from another's
)

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		childEnv = []string{childVariable + "=1", ownerVariable + "=" + os.Getenv(ownerVariable)}
		main()
		return
	}
	os.Exit(m.Run())
}

// TestUsage has bad usage and bad files end with exit 2 and one line.
func TestUsage(t *testing.T) {
	t.Parallel()
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("states = \"x\"\nsecond = 3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		args []string
		says string
	}{
		{[]string{"lab", "run", bad}, bad + ":2: unknown key"},
		{[]string{"lab", "run", "nowhere.toml"}, "nowhere.toml"},
		{[]string{"lab", "list", "nowhere"}, "nowhere"},
		{[]string{"lab", "run", "testdata/small.toml", "--sed", "3"}, "--sed"},
		{[]string{"up", "--for", "3h"}, "--for"},
		{[]string{"lab", "compare", "testdata/small.toml", "testdata/small.toml", "--repeat", "0"}, "--repeat"},
	} {
		t.Run(strings.Join(test.args, " "), func(t *testing.T) {
			c := newCommand(t, test.args...)
			if code := c.waitForExit(t); code != exitUsage {
				t.Errorf("exit %d, want %d", code, exitUsage)
			}
			if text := c.err.String(); strings.Count(text, "\n") != 1 || !strings.Contains(text, test.says) {
				t.Errorf("it printed %q, want one line with %q", text, test.says)
			}
		})
	}
}
