package settings

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
)

// TestParse replaces one line of a good file at a time. Danger: a process that starts on nonsense and fails later.
func TestParse(t *testing.T) {
	good, err := os.ReadFile("testdata/good.toml")
	if err != nil {
		t.Fatal(err)
	}
	datadriven.RunTest(t, "testdata/parse", func(t *testing.T, d *datadriven.TestData) string {
		role := Proxy
		if d.Cmd == "keeper" {
			role = ControlPlane
		}
		text := string(good)
		for _, line := range strings.Split(d.Input, "\n") {
			if line == "" {
				continue
			}
			old, with, found := strings.Cut(line, " =>")
			with = strings.TrimSpace(with)
			if !found || !strings.Contains(text, old) {
				t.Fatalf("%s: %q is not in the good file", d.Pos, old)
			}
			text = strings.Replace(text, old, with, 1)
		}
		s, err := Parse([]byte(text), role)
		if err != nil {
			if !errors.Is(err, ErrSettings) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%s: %q is not one line of this package's kind", d.Pos, err)
			}
			return err.Error()
		}
		disk := ", no disk"
		if s.HasDisk() {
			disk = ""
		}
		return s.Node + " keeper port " + strconv.Itoa(s.ControlPlanePort()) + " proxy port " + strconv.Itoa(s.ProxyPort()) + " seeds " +
			strings.Join(s.SeedIPs(), ",") + disk
	})
}

func TestFromEnvironment(t *testing.T) {
	t.Setenv(PathEnv, "")
	if _, err := FromEnvironment(Proxy); err == nil || !strings.Contains(err.Error(), PathEnv) {
		t.Errorf("without the variable: %v", err)
	}
	t.Setenv(PathEnv, t.TempDir()+"/none")
	if _, err := FromEnvironment(Proxy); !errors.Is(err, ErrSettings) {
		t.Errorf("without the file: %v", err)
	}
	t.Setenv(PathEnv, "testdata/good.toml")
	if _, err := FromEnvironment(ControlPlane); err != nil {
		t.Error(err)
	}
}

func FuzzParse(f *testing.F) {
	good, err := os.ReadFile("testdata/good.toml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(string(good))
	f.Fuzz(func(t *testing.T, text string) {
		if s, err := Parse([]byte(text), ControlPlane); err == nil && s.ControlPlanePort() < 1 {
			t.Error("accepted without a port")
		}
	})
}
