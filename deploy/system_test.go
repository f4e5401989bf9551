package deploy

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"

	"gradeusher.example/gradeusher/internal/system/process"
)

// system is deploy/system.toml.
type system struct {
	Build    string
	Packages []string
	Roles    map[string]struct {
		Run     string
		Metrics string // PORT/PATH
		On      string
		Share   float64
		Count   int
		Serves  []string
	}
}

func readSystem(t *testing.T) system {
	t.Helper()
	var d system
	meta, err := toml.DecodeFile("system.toml", &d)
	if err != nil {
		t.Fatal(err)
	}
	if extra := meta.Undecoded(); len(extra) > 0 {
		t.Errorf("unknown keys %v", extra)
	}
	return d
}

// TestSystemFile builds as the deploy file says, in a copy of nothing but what the build line makes, and starts each role
// on bad settings. A program linked statically would get nothing of a library that is loaded into it; one that starts on
// nonsense fails later, and a fault of several lines is split by a log.
func TestSystemFile(t *testing.T) {
	deployed := readSystem(t)
	build := exec.CommandContext(t.Context(), "/bin/sh", "-c", deployed.Build)
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", deployed.Build, err, out)
	}
	served := map[string]bool{}
	for name, role := range deployed.Roles {
		for _, s := range role.Serves {
			if served[s] {
				t.Errorf("two roles serve %s", s)
			}
			served[s] = true
		}
		fields := strings.Fields(role.Run)
		if port, path, _ := strings.Cut(role.Metrics, "/"); !strings.HasSuffix(role.Run, " --metrics "+port) || "/"+path != process.MetricsPath {
			t.Errorf("role %s: metrics at %q, and it is started by %q", name, role.Metrics, role.Run)
		}
		checkLinked(t, "exec "+fields[0])
		for what, boot := range map[string]string{"no variable": "", "no file": "GRADEUSHER_BOOT=/nowhere", "nonsense": "GRADEUSHER_BOOT=" + nonsense(t)} {
			cmd := exec.CommandContext(t.Context(), filepath.Join(root, fields[0]), fields[1:]...)
			cmd.Env = []string{"PATH=/usr/bin:/bin", boot}
			out, err := cmd.CombinedOutput()
			if err == nil || strings.Count(string(out), "\n") != 1 || !strings.HasPrefix(string(out), filepath.Base(fields[0])+": ") {
				t.Errorf("%s with %s ended with %v and said %q", name, what, err, out)
			}
		}
	}
	for _, s := range []string{"edge", "control", "directory"} {
		if !served[s] {
			t.Errorf("no role serves %s", s)
		}
	}
}

// nonsense is a settings file that cannot be read.
func nonsense(t *testing.T) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "local.toml")
	if err := os.WriteFile(file, []byte("node_name = 3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}
