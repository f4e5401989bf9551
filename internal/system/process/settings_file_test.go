package process

import (
	"context"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/settings"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// waitingProcess is a process in Wait, with a settings file in memory.
type waitingProcess struct {
	t        *testing.T
	original string
	hangups  chan os.Signal
	log      *memory.Handler

	mu      sync.Mutex // guards the fields below
	text    string     // of the settings file
	err     error      // of reading it
	applied [][]string // the seeds that were set
}

// startWaiting starts Wait, which ends with the test.
func startWaiting(t *testing.T) *waitingProcess {
	t.Helper()
	text, err := os.ReadFile("../settings/testdata/good.toml")
	if err != nil {
		t.Fatal(err)
	}
	started, err := settings.Parse(text, settings.ControlPlane)
	if err != nil {
		t.Fatal(err)
	}
	waiting := &waitingProcess{t: t, original: string(text), text: string(text), hangups: make(chan os.Signal, 1), log: memory.New()}
	process := &Process{
		Settings: started, Log: &log.Logger{Handler: waiting.log, Level: log.DebugLevel}, program: Program{Name: "controlplane"},
		terminated: context.Background(), reload: waiting.hangups,
		file: newSettingsFile(settings.ControlPlane, waiting.read, text, started),
	}
	go process.Wait(t.Context(), waiting.setSeeds)
	return waiting
}

func (w *waitingProcess) read() ([]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return nil, w.err
	}
	return []byte(w.text), nil
}

func (w *waitingProcess) setSeeds(seeds []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.applied = append(w.applied, seeds)
}

// writeSeeds replaces the seeds in the settings file.
func (w *waitingProcess) writeSeeds(seeds string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lines := strings.Split(w.original, "\n")
	for i, line := range lines {
		if strings.HasPrefix(line, "seed_nodes") {
			lines[i] = "seed_nodes = " + seeds
		}
	}
	w.text = strings.Join(lines, "\n")
}

func (w *waitingProcess) failReads(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.err = err
}

// expect checks the seeds that were set since the last call, and the number of log lines with a text.
func (w *waitingProcess) expect(what string, logged string, lines int, want ...string) {
	w.t.Helper()
	synctest.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	var got []string
	for _, seeds := range w.applied {
		got = append(got, strings.Join(seeds, ","))
	}
	if !slices.Equal(got, want) {
		w.t.Errorf("%s: seeds %q were set, want %q", what, got, want)
	}
	count := 0
	for _, entry := range w.log.Entries {
		if strings.Contains(entry.Message, logged) {
			count++
		}
	}
	if count != lines {
		w.t.Errorf("%s: %d log lines with %q, want %d", what, count, logged, lines)
	}
	w.applied, w.log.Entries = nil, nil
}

// TestSeedsAreTakenUpWhileTheProcessRuns changes the settings file with and without a SIGHUP. It guards against a process that looks for
// others at the seeds of its start for as long as it runs.
func TestSeedsAreTakenUpWhileTheProcessRuns(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		waiting := startWaiting(t)
		time.Sleep(10 * settingsCheckInterval)
		waiting.expect("an unchanged file", "settings", 0)

		waiting.writeSeeds(`["10.0.9.1:7000", "10.0.9.2:7000"]`)
		waiting.hangups <- syscall.SIGHUP
		time.Sleep(time.Millisecond)
		waiting.expect("a SIGHUP", "the settings name other seeds", 1, "10.0.9.1,10.0.9.2")

		waiting.writeSeeds(`["10.0.9.3:7000"]`)
		time.Sleep(settingsCheckInterval)
		waiting.expect("a change without a SIGHUP", "the settings name other seeds", 1, "10.0.9.3")

		waiting.hangups <- syscall.SIGHUP
		time.Sleep(time.Millisecond)
		waiting.expect("a SIGHUP without a change", "is valid", 1)
	})
}

// TestInvalidSettingsLeaveTheSeeds guards against a process that loses its seeds by a file that is half written, invalid or missing, and
// against a log that is full of the same line.
func TestInvalidSettingsLeaveTheSeeds(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		waiting := startWaiting(t)
		for _, seeds := range []string{`[]`, `["nowhere"]`, `["10.0.9.1:7000"`} {
			waiting.writeSeeds(seeds)
			time.Sleep(5 * settingsCheckInterval)
			waiting.expect(seeds, "settings file rejected", 1)
		}
		waiting.failReads(errors.New("no such file"))
		time.Sleep(5 * settingsCheckInterval)
		waiting.expect("a missing file", "settings file rejected", 1)

		waiting.failReads(nil)
		waiting.writeSeeds(`["10.0.9.4:7000"]`)
		time.Sleep(settingsCheckInterval)
		waiting.expect("a valid file after that", "the settings name other seeds", 1, "10.0.9.4")
	})
}
