package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// command is the program as a process of its own, with a temporary folder that must be empty at its end.
type command struct {
	*exec.Cmd
	out, err bytes.Buffer
	tmp      string
	owner    string
}

func newCommand(t testing.TB, args ...string) *command {
	t.Helper()
	me, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	c := &command{Cmd: exec.CommandContext(context.Background(), me, args...), tmp: t.TempDir(), owner: fmt.Sprintf("%s-%d", t.Name(), time.Now().UnixNano())}
	c.Env = append(os.Environ(), childVariable+"=1", ownerVariable+"="+c.owner, "TMPDIR="+c.tmp)
	c.Stdout, c.Stderr = &c.out, &c.err
	return c
}

// waitForExit runs the command to its end and returns the exit code. Whatever it was, nothing of it is left behind.
func (c *command) waitForExit(t testing.TB) int {
	t.Helper()
	if c.Process == nil {
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
	}
	err := c.Wait()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	if left := processes(t, c.owner); len(left) > 0 {
		t.Errorf("processes %v are left", left)
	}
	if left, err := os.ReadDir(c.tmp); err != nil || len(left) > 0 {
		t.Errorf("%v left in the temporary folder, %v", left, err)
	}
	return c.ProcessState.ExitCode()
}

// kill ends the command by SIGKILL and waits for it.
func (c *command) kill(t *testing.T) {
	t.Helper()
	if err := c.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = c.Wait() // a signal ended it
}

// processes are those with a test's mark in their environment.
func processes(t testing.TB, owner string) []string {
	t.Helper()
	paths, err := filepath.Glob("/proc/[0-9]*/environ")
	if err != nil {
		t.Fatal(err)
	}
	var found []string
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err == nil && bytes.Contains(text, []byte(ownerVariable+"="+owner+"\x00")) { // others end meanwhile
			found = append(found, filepath.Base(filepath.Dir(path)))
		}
	}
	return found
}
