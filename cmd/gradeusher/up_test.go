package main

import (
	"io"
	"os"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestUp starts everything on a machine where nothing is configured.
func TestUp(t *testing.T) {
	t.Parallel()
	c := newCommand(t, "up", "--for", "3s")
	if code := c.waitForExit(t); code != 0 {
		t.Fatalf("exit %d: %s%s", code, &c.out, &c.err)
	}
	text := c.out.String()
	for what, n := range map[string]int{`(?m)^list `: 1, `(?m)^sidecar `: 2, `(?m)^server `: 6, `(?m)^ +\d+s +\d+ requests/s`: 2} {
		if got := len(regexp.MustCompile(what).FindAllString(text, -1)); got < n {
			t.Errorf("%d lines like %q, want %d at least:\n%s", got, what, n, text)
		}
	}
}

// TestInterrupted ends experiments half way, by an interrupt and by SIGKILL: no process and no folder survives.
func TestInterrupted(t *testing.T) {
	t.Parallel()
	for _, sig := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM, syscall.SIGKILL} {
		t.Run(sig.String(), func(t *testing.T) {
			t.Parallel()
			process := newCommand(t, "up", "--for", "10m")
			output := startUp(t, process)
			if n := len(processes(t, process.owner)); n < 5 {
				t.Errorf("%d processes run, want the command, the servers, the list and two sidecars", n)
			}
			if err := process.Process.Signal(sig); err != nil {
				t.Fatal(err)
			}
			if sig == syscall.SIGKILL {
				checkGoneAfterKill(t, process)
				return
			}
			go func() { _, _ = io.Copy(io.Discard, output) }() // what it still prints must not block it; until the test closes the output
			process.waitForExit(t)
		})
	}
}

// startUp starts the command, waits until traffic flows, and returns the rest of its output.
func startUp(t *testing.T, process *command) io.Reader {
	t.Helper()
	output, input, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = output.Close() }) // it was read as far as it matters
	process.Stdout = input
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	_ = input.Close() // the command has its own
	text := make([]byte, 1<<16)
	for seen := ""; !strings.Contains(seen, "requests/s"); {
		n, err := output.Read(text)
		if err != nil {
			t.Fatalf("%v after %q: %s", err, seen, &process.err)
		}
		seen += string(text[:n])
	}
	return output
}

// checkGoneAfterKill checks that the janitor ends all processes of a command that was killed, and removes its folder.
func checkGoneAfterKill(t *testing.T, process *command) {
	t.Helper()
	if err := process.Wait(); err == nil {
		t.Error("it ended well")
	}
	for until := time.Now().Add(30 * time.Second); len(processes(t, process.owner)) > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("processes %v outlive the lab", processes(t, process.owner))
		}
	}
	if left, err := os.ReadDir(process.tmp); err != nil || len(left) > 0 {
		t.Errorf("%v left in the temporary folder, %v", left, err)
	}
}
