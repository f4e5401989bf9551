package admin

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

func TestBackupFile(t *testing.T) {
	dir := t.TempDir()
	state, err := controlstate.Empty().Apply(controlstate.Change{Op: controlstate.OpEvacuate, Zone: "z"}.Record(1))
	if err != nil {
		t.Fatal(err)
	}
	file, data := filepath.Join(dir, "b"), state.Encode()
	if err := WriteBackup(file, data); err != nil {
		t.Fatal(err)
	}
	if err := WriteBackup(file, data); err == nil {
		t.Error("an existing backup was overwritten")
	}
	if s, err := ReadBackup(file); err != nil || s.Seq != 1 || !s.Evacuated["z"] {
		t.Errorf("%+v %v", s, err)
	}
	if left, err := os.ReadDir(dir); err != nil || len(left) != 1 {
		t.Errorf("files left in the directory: %v %v", left, err)
	}
	for i := range data {
		for what, bad := range map[string][]byte{"cut": data[:i], "changed": append(append(bytes.Clone(data[:i]), data[i]^4), data[i+1:]...)} {
			if err := os.WriteFile(file, bad, 0o600); err != nil {
				t.Fatal(err)
			}
			if _, err := ReadBackup(file); !errors.Is(err, ErrFormat) {
				t.Errorf("%s at byte %d: %v", what, i, err)
			}
		}
	}
}
