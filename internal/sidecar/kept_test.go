package sidecar

import (
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"gradeusher.example/gradeusher/balance"
)

// TestKeptFile leaves beliefs to a process whose clock begins elsewhere, and then has the file be unsound in each way.
func TestKeptFile(t *testing.T) {
	origin, log := time.Unix(1000, 0), &logText{}
	k := newKept(t.TempDir(), "n 0", slog.New(slog.NewTextHandler(log, nil)))
	if _, _, ok := k.load(origin); ok || log.String() != "" {
		t.Errorf("there is something in no file: %s", log)
	}
	b := balance.Kept{Near: 0.5, Endpoints: []balance.KeptServer{{ID: "s-0", Started: 500 * time.Second, KeptSum: balance.KeptSum{Took: 1, Held: 2}}, {ID: "s-1"}}}
	if err := k.save(b, origin, time.Unix(1600, 5)); err != nil {
		t.Fatal(err)
	}
	got, at, ok := k.load(origin.Add(100 * time.Second))
	b.Endpoints[0].Started = 400 * time.Second
	if !ok || !at.Equal(time.Unix(1600, 5)) || !reflect.DeepEqual(got, b) {
		t.Errorf("%v from %v, want %v", got, at, b)
	}
	sound, err := os.ReadFile(k.path)
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{
		"torn":    string(sound[:len(sound)-3]),
		"changed": strings.Replace(string(sound), "s-0", "s-9", 1),
		"foreign": "{}",
		"newer":   strings.Replace(string(sound), " 1 1 ", " 9 9 ", 1),
		"huge":    strings.Repeat("x", mostBeliefs+1),
	} {
		if err := os.WriteFile(k.path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		before := len(log.String())
		if _, _, ok := k.load(origin); ok || len(log.String()) == before {
			t.Errorf("%s: taken, or nothing was said", name)
		}
		if aside, err := os.ReadFile(k.path + ".unsound"); err != nil || string(aside) != text {
			t.Errorf("%s: not set aside: %v", name, err)
		}
	}
}

// TestBeliefsOutlive has a process leave its beliefs when it is told to end, and the next one take them up; without being asked for it, none does.
func TestBeliefsOutlive(t *testing.T) {
	d, dir := startRegistry(t), t.TempDir()
	server := startBackend(t, say(200, "", "ok"))
	for i, keep := range []string{"", `"keep_beliefs":true,`, `"keep_beliefs":true,`} {
		c, err := load(t, strings.Replace(configText(d.address, serving(1, server), testSettings), `"new":1,`, keep, 1), "TMPDIR="+dir)
		if err != nil {
			t.Fatal(err)
		}
		log := &logText{}
		p := startLogging(t, c, log, drainTimes{quiet: time.Millisecond, finish: patience})
		p.ask("read")
		p.client.CloseIdleConnections()
		p.stop()
		if err := within(t, p.ended, "end"); err != nil {
			t.Fatal(err)
		}
		files, _ := filepath.Glob(filepath.Join(dir, "beliefs-*.kept"))
		if taken := strings.Contains(log.String(), `msg="beliefs taken up" servers=1`); taken != (i == 2) || len(files) != min(i, 1) {
			t.Errorf("process %d: beliefs taken up %t, files %q; log:\n%s", i, taken, files, log)
		}
	}
}
