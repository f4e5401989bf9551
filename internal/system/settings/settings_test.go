package settings_test

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/settings"
)

// TestParse replaces lines of a valid file, one case at a time. It guards against a process that starts with invalid settings and
// fails later.
func TestParse(t *testing.T) {
	good, err := os.ReadFile("testdata/good.toml")
	if err != nil {
		t.Fatal(err)
	}
	datadriven.RunTest(t, "testdata/parse", func(t *testing.T, data *datadriven.TestData) string {
		role := settings.Proxy
		if data.Cmd == "keeper" {
			role = settings.ControlPlane
		}
		parsed, err := settings.Parse([]byte(replaceLines(t, string(good), data)), role)
		if err != nil {
			if !errors.Is(err, settings.ErrSettings) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%s: error %q is not a single line marked ErrSettings", data.Pos, err)
			}
			return err.Error()
		}
		disk := ", no disk"
		if parsed.HasDisk() {
			disk = ""
		}
		return parsed.Node + " keeper port " + strconv.Itoa(parsed.ControlPlanePort()) + " proxy port " + strconv.Itoa(parsed.ProxyPort()) +
			" seeds " + strings.Join(parsed.SeedIPs(), ",") + disk
	})
}

// replaceLines applies each line of data, of the form "old => new", to text as a replacement.
func replaceLines(t *testing.T, text string, data *datadriven.TestData) string {
	t.Helper()
	for _, line := range strings.Split(data.Input, "\n") {
		if line == "" {
			continue
		}
		old, with, found := strings.Cut(line, " =>")
		if !found || !strings.Contains(text, old) {
			t.Fatalf("%s: %q is not in the valid file", data.Pos, old)
		}
		text = strings.Replace(text, old, strings.TrimSpace(with), 1)
	}
	return text
}

// TestFromEnvironment checks the errors for a missing environment variable and a missing file.
func TestFromEnvironment(t *testing.T) {
	t.Setenv(settings.PathEnv, "")
	if _, err := settings.FromEnvironment(settings.Proxy); err == nil || !strings.Contains(err.Error(), settings.PathEnv) {
		t.Errorf("without the environment variable: %v", err)
	}
	t.Setenv(settings.PathEnv, t.TempDir()+"/none")
	if _, err := settings.FromEnvironment(settings.Proxy); !errors.Is(err, settings.ErrSettings) {
		t.Errorf("without the file: %v", err)
	}
	t.Setenv(settings.PathEnv, "testdata/good.toml")
	if _, err := settings.FromEnvironment(settings.ControlPlane); err != nil {
		t.Error(err)
	}
}

// FuzzParse checks that an accepted file has a port for the system's own traffic.
func FuzzParse(f *testing.F) {
	good, err := os.ReadFile("testdata/good.toml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(string(good))
	f.Fuzz(func(t *testing.T, text string) {
		if parsed, err := settings.Parse([]byte(text), settings.ControlPlane); err == nil && parsed.ControlPlanePort() < 1 {
			t.Error("settings without a port were accepted")
		}
	})
}
