package lab

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"gradeusher.example/gradeusher/internal/lab/proc"
)

const (
	cleanupTimeout      = 10 * time.Second // for processes that are being killed to close their files
	cleanupPollInterval = 20 * time.Millisecond
)

// startJanitor starts the process that removes the work folder when the lab has ended, however that came about. cleanUp has it do so now,
// and fails with ErrNotRemoved where the folder is still there.
func startJanitor(self Self, work string) (cleanUp func() error, err error) {
	starter := proc.NewStarter()
	janitor, err := starter.Start(proc.Spec{Name: "janitor", Path: self.Path, Args: []string{"stand-in", "janitor", work}, Log: os.DevNull, Piped: true,
		OutlivesLab: true, Env: append([]string{"TMPDIR=" + os.TempDir()}, self.Env...)})
	if err != nil {
		starter.Close()
		return nil, err
	}
	return func() error {
		defer starter.Close()
		defer func() { _ = janitor.Out.Close() }() // nothing is read from it
		janitor.End(cleanupTimeout + time.Second)
		if _, err := os.Stat(work); !os.IsNotExist(err) {
			return fmt.Errorf("%s %w", work, ErrNotRemoved)
		}
		return nil
	}, nil
}

// Clean is the janitor: it waits until the lab's end of its input is closed, and removes the folder work. It returns the error of the input,
// or of the removal where that has not succeeded after cleanupTimeout.
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
	for deadline := time.Now().Add(cleanupTimeout); ; time.Sleep(cleanupPollInterval) {
		err := os.RemoveAll(work)
		if _, statErr := os.Stat(work); err == nil && os.IsNotExist(statErr) {
			return nil
		}
		if time.Now().After(deadline) {
			return err
		}
	}
}
