package lab

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"gradeusher.example/gradeusher/internal/lab/proc"
)

const cleanupTimeout = 10 * time.Second // for processes that are being killed to let go of their files

// startJanitor starts the process that removes the work folder when the lab is gone, however it went. leave has it do so now.
func startJanitor(self Self, work string) (leave func() error, err error) {
	s := proc.NewStarter()
	p, err := s.Start(proc.Spec{Name: "janitor", Path: self.Path, Args: []string{"stand-in", "janitor", work}, Log: os.DevNull, Piped: true, OutlivesLab: true,
		Env: append([]string{"TMPDIR=" + os.TempDir()}, self.Env...)})
	if err != nil {
		s.Close()
		return nil, err
	}
	return func() error {
		defer s.Close()
		defer func() { _ = p.Out.Close() }() // nothing is read from it
		p.End(cleanupTimeout + time.Second)
		if _, err := os.Stat(work); !os.IsNotExist(err) {
			return fmt.Errorf("%s %w", work, ErrNotRemoved)
		}
		return nil
	}, nil
}

// Clean is the janitor: it waits until the lab's end of its input is closed and removes the folder.
func Clean(lab io.Reader, work string) error {
	if _, err := io.Copy(io.Discard, lab); err != nil {
		return err
	}
	folders, err := filepath.Glob(filepath.Join(work, "*"))
	if err != nil {
		return err
	}
	for _, folder := range folders {
		_ = proc.SetReadOnly(folder, false) // most were never read-only, and files cannot be
	}
	for until := time.Now().Add(cleanupTimeout); ; time.Sleep(20 * time.Millisecond) {
		err := os.RemoveAll(work)
		if _, gone := os.Stat(work); err == nil && os.IsNotExist(gone) {
			return nil
		}
		if time.Now().After(until) {
			return err
		}
	}
}
