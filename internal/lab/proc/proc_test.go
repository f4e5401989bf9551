package proc

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// shell starts a shell that reads its lines from the test.
func shell(t *testing.T, script string) (*Process, *bufio.Scanner) {
	t.Helper()
	starter := NewStarter()
	t.Cleanup(starter.Close)
	folder := t.TempDir()
	process, err := starter.Start(Spec{Name: "shell", Path: "/bin/sh", Args: []string{"-c", script}, Log: filepath.Join(t.TempDir(), "log"), Piped: true,
		Folder: folder, Env: []string{"TMPDIR=" + folder}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		process.Kill()
		_ = process.Out.Close() // the process has ended
	})
	return process, bufio.NewScanner(process.Out)
}

// TestDiskStates has a process find its folder full, only readable, and well again.
func TestDiskStates(t *testing.T) {
	if err := CanReadOnly(t.TempDir()); err != nil {
		t.Skip(err)
	}
	process, output := shell(t, `trap "" XFSZ; while read name; do (echo text > "$TMPDIR/$name") 2>/dev/null && test -s "$TMPDIR/$name" && echo well || echo failed; done`)
	for i, step := range []struct{ mode, want string }{{"", "well"}, {"full", "failed"}, {"", "well"}, {"readonly", "failed"}, {"", "well"}} {
		if err := process.SetDiskState(step.mode); err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(process.In, "file%d\n", i)
		if !output.Scan() || output.Text() != step.want {
			t.Errorf("step %d, disk %q: the process says %q, want %q", i, step.mode, output.Text(), step.want)
		}
	}
}

// TestTerminate has a process end by itself, by the end of its input, by SIGKILL where that does nothing, and from a stop.
func TestTerminate(t *testing.T) {
	process, _ := shell(t, "exit 3")
	<-process.Ended()
	if exit := process.Exit(); exit.Code != 3 || exit.Wanted {
		t.Errorf("%+v", exit)
	}
	process, _ = shell(t, "read line")
	if !process.Terminate(10*time.Second) || !process.Exit().Wanted {
		t.Errorf("%+v", process.Exit())
	}
	process, _ = shell(t, "exec sleep 60")
	if process.Terminate(10 * time.Millisecond) {
		t.Error("one that does not listen ended well")
	}
	if exit := process.Exit(); exit.Code >= 0 {
		t.Errorf("%+v", exit)
	}
	process, output := shell(t, "echo up; read line")
	output.Scan()
	if err := process.Signal(syscall.SIGSTOP, false); err != nil {
		t.Fatal(err)
	}
	if !process.Terminate(10 * time.Second) {
		t.Error("one that was stopped had to be killed")
	}
}

// TestSample samples a process's memory and descriptors.
func TestSample(t *testing.T) {
	process, output := shell(t, `exec 7</dev/null 8</dev/null; echo up; read line`)
	output.Scan()
	sample, err := process.Sample()
	if err != nil || sample.Descriptors < 5 || sample.MemoryMB <= 0 {
		t.Errorf("%+v, %v", sample, err)
	}
	process.Kill()
	if _, err := process.Sample(); err == nil {
		t.Error("a process that has ended holds something")
	}
}

// TestReadOnlyFolder has what was in a read-only folder be there, and nothing new.
func TestReadOnlyFolder(t *testing.T) {
	if err := CanReadOnly(t.TempDir()); err != nil {
		t.Skip(err)
	}
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, "old"), []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := SetReadOnly(folder, true); err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := SetReadOnly(folder, false); err != nil {
			t.Error(err)
		}
	}()
	if err := os.WriteFile(filepath.Join(folder, "new"), nil, 0o600); err == nil {
		t.Error("a file was made")
	}
	if err := os.Remove(filepath.Join(folder, "old")); err == nil {
		t.Error("a file was removed")
	}
	if text, err := os.ReadFile(filepath.Join(folder, "old")); err != nil || string(text) != "x" {
		t.Errorf("%q, %v", text, err)
	}
}
