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

// shell starts a shell whose input and output are the test's.
func shell(t *testing.T, script string) (*Process, *bufio.Scanner) {
	t.Helper()
	s := NewStarter()
	t.Cleanup(s.Close)
	folder := t.TempDir()
	process, err := s.Start(Spec{Name: "shell", Path: "/bin/sh", Args: []string{"-c", script}, Log: filepath.Join(t.TempDir(), "log"), Piped: true,
		Folder: folder, Env: []string{"TMPDIR=" + folder}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		process.Kill()
		if err := process.Out.Close(); err != nil {
			t.Error(err)
		}
	})
	return process, bufio.NewScanner(process.Out)
}

// TestDisk lets a process find its folder full, read-only, and writable again.
func TestDisk(t *testing.T) {
	if err := CheckReadOnly(t.TempDir()); err != nil {
		t.Skip(err)
	}
	process, output := shell(t, `trap "" XFSZ; while read name; do (echo text > "$TMPDIR/$name") 2>/dev/null && test -s "$TMPDIR/$name" && echo written || echo failed; done`)
	for i, step := range []struct{ mode, want string }{{"", "written"}, {DiskFull, "failed"}, {"", "written"}, {DiskReadOnly, "failed"}, {"", "written"}} {
		if err := process.SetDiskFault(step.mode); err != nil {
			t.Fatal(err)
		}
		if _, err := fmt.Fprintf(process.In, "file%d\n", i); err != nil {
			t.Fatal(err)
		}
		if !output.Scan() || output.Text() != step.want {
			t.Errorf("step %d, disk %q: the process says %q, want %q", i, step.mode, output.Text(), step.want)
		}
	}
}

// TestEnd ends a process by its own exit, by the end of its input, by SIGKILL where that has no effect, and out of a stop.
func TestEnd(t *testing.T) {
	t.Run("by itself", func(t *testing.T) {
		process, _ := shell(t, "exit 3")
		<-process.Ended()
		if exit := process.Exit(); exit.Code != 3 || exit.Wanted {
			t.Errorf("%+v", exit)
		}
	})
	t.Run("end of input", func(t *testing.T) {
		process, _ := shell(t, "read line")
		if !process.End(10*time.Second) || !process.Exit().Wanted {
			t.Errorf("%+v", process.Exit())
		}
	})
	t.Run("SIGKILL", func(t *testing.T) {
		process, _ := shell(t, "exec sleep 60")
		if process.End(10 * time.Millisecond) {
			t.Error("a process that ignores its input ended without SIGKILL")
		}
		if exit := process.Exit(); exit.Code >= 0 {
			t.Errorf("%+v", exit)
		}
	})
	t.Run("stopped", func(t *testing.T) {
		process, output := shell(t, "echo up; read line")
		output.Scan()
		if err := process.Signal(syscall.SIGSTOP, false); err != nil {
			t.Fatal(err)
		}
		if !process.End(10 * time.Second) {
			t.Error("a stopped process had to be killed")
		}
	})
}

// TestSample measures memory and descriptors of a process, and fails for one that has ended.
func TestSample(t *testing.T) {
	process, output := shell(t, `exec 7</dev/null 8</dev/null; echo up; read line`)
	output.Scan()
	sample, err := process.Sample()
	if err != nil || sample.Descriptors < 5 || sample.MemoryMB <= 0 {
		t.Errorf("%+v, %v", sample, err)
	}
	process.Kill()
	if _, err := process.Sample(); err == nil {
		t.Error("a process that has ended has a sample")
	}
}

// TestReadOnlyFolder leaves what was in a read-only folder, and lets nothing be created there.
func TestReadOnlyFolder(t *testing.T) {
	if err := CheckReadOnly(t.TempDir()); err != nil {
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
