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
	"gradeusher.example/gradeusher/internal/sidecar/sealed"
)

// TestSnapshotFile saves a snapshot for a process whose clock begins elsewhere, and then makes the file invalid in each way.
func TestSnapshotFile(t *testing.T) {
	origin, log := time.Unix(1000, 0), &logText{}
	file := newSnapshotFile(t.TempDir(), "n 0", slog.New(slog.NewTextHandler(log, nil)))
	if _, _, ok := file.load(origin); ok || log.String() != "" {
		t.Errorf("a snapshot was loaded without a file: %s", log)
	}
	b := balance.Snapshot{ZoneWeight: 0.5, Endpoints: []balance.EndpointSnapshot{{ID: "s-0", Started: 500 * time.Second, LatencySum: balance.LatencySum{Seconds: 1, Load: 2}}, {ID: "s-1"}}}
	if err := file.save(b, origin, time.Unix(1600, 5)); err != nil {
		t.Fatal(err)
	}
	got, at, ok := file.load(origin.Add(100 * time.Second))
	b.Endpoints[0].Started = 400 * time.Second
	if !ok || !at.Equal(time.Unix(1600, 5)) || !reflect.DeepEqual(got, b) {
		t.Errorf("%v from %v, want %v", got, at, b)
	}
	sound, err := os.ReadFile(file.Path)
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{
		"torn":    string(sound[:len(sound)-3]),
		"changed": strings.Replace(string(sound), "s-0", "s-9", 1),
		"foreign": "{}",
		"newer":   strings.Replace(string(sound), " 1 1 ", " 9 9 ", 1),
		"huge":    strings.Repeat("x", maxSnapshotBytes+1),
	} {
		if err := os.WriteFile(file.Path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		before := len(log.String())
		file.startedAt = 0 // as in a process that starts
		if _, _, ok := file.load(origin); ok || len(log.String()) == before {
			t.Errorf("%s: loaded, or nothing was logged", name)
		}
		if aside, err := os.ReadFile(file.Path + ".unsound"); err != nil || string(aside) != text {
			t.Errorf("%s: not quarantined: %v", name, err)
		}
	}
}

// TestSnapshotOfTwoProcesses has the earlier process of an upgrade save its snapshot last: the later one's is kept. The same
// holds when the wall clock has gone back, when the file is of a newer format, and while another process holds the lock.
func TestSnapshotOfTwoProcesses(t *testing.T) {
	dir, origin, log := t.TempDir(), time.Unix(1000, 0), slog.New(slog.DiscardHandler)
	begin := func() *snapshotFile {
		k := newSnapshotFile(dir, "n", log)
		k.load(origin)
		return k
	}
	zoneWeight := func() float64 {
		b, _, _ := newSnapshotFile(dir, "n", log).load(origin)
		return b.ZoneWeight
	}
	save := func(k *snapshotFile, near float64) {
		t.Helper()
		if err := k.save(balance.Snapshot{ZoneWeight: near}, origin, time.Now()); err != nil {
			t.Fatal(err)
		}
	}
	old := begin()
	old.startedAt += time.Hour.Nanoseconds() // its clock was ahead
	save(old, 0.1)
	newer := begin()
	save(newer, 0.2)
	save(old, 0.1)
	if got := zoneWeight(); got != 0.2 {
		t.Errorf("the earlier process, which ended last, has overwritten the snapshot with %v", got)
	}
	save(newer, 0.3)
	if got := zoneWeight(); got != 0.3 {
		t.Errorf("the later process has not replaced its own: %v", got)
	}
	if err := sealed.WithLock(newer.Path, true, func() error { save(newer, 0.4); return nil }); err != nil {
		t.Fatal(err)
	}
	if got := zoneWeight(); got != 0.3 {
		t.Errorf("written while another held the lock: %v", got)
	}
	later := sealed.Kind{Magic: snapshotKind.Magic, FormatVersion: 9, MinReaderVersion: 9}.Seal([]byte("{}"))
	if err := os.WriteFile(newer.Path, later, 0o600); err != nil {
		t.Fatal(err)
	}
	save(newer, 0.5)
	_, _, ok := newer.load(origin)
	if text, err := os.ReadFile(newer.Path); err != nil || ok || string(text) != string(later) {
		t.Errorf("the earlier program has replaced or moved the later one's: %.40q, taken %t, error %v", text, ok, err)
	}
	save(begin(), 0.6) // quarantines the newer file: operators have gone back to this program
	if got := zoneWeight(); got != 0.6 {
		t.Errorf("after going back to the earlier program: %v", got)
	}
}

// TestSnapshotOutlivesProcess has a process save a snapshot when it is told to end, and the next one
// restore it, only if that is configured.
func TestSnapshotOutlivesProcess(t *testing.T) {
	d, dir := startRegistry(t), t.TempDir()
	server := startBackend(t, respondWith(200, "", "ok"))
	for index, keep := range []string{"", `"keep_beliefs":true,`, `"keep_beliefs":true,`} {
		c, err := load(t, strings.Replace(configText(d.address, serving(1, server), testSettings), `"new":1,`, keep, 1), "TMPDIR="+dir)
		if err != nil {
			t.Fatal(err)
		}
		log := &logText{}
		p := startLogging(t, c, log, drainTimes{quietTime: time.Millisecond, finish: testTimeout})
		p.ask("read")
		p.client.CloseIdleConnections()
		p.stop()
		if err := within(t, p.ended, "end"); err != nil {
			t.Fatal(err)
		}
		files, _ := filepath.Glob(filepath.Join(dir, "beliefs-*.kept"))
		if taken := strings.Contains(log.String(), `msg="snapshot restored" servers=1`); taken != (index == 2) || len(files) != min(index, 1) {
			t.Errorf("process %d: snapshot restored %t, files %q; log:\n%s", index, taken, files, log)
		}
	}
}
