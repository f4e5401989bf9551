package sidecar

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
)

const snapshotText = `{"saved_ns":1700000000123000000,"began_ns":1700000000000000001,"near":0.5,"idle":0.25,"arrived":12.5,"tight":7000000000,` +
	`"work":[0.125,2],"groups":[{"took":1.5,"held":2.5}],"endpoints":[{"id":"s-1","started":1699999990000000000,` +
	`"cold":1699999995000000000,"took":3.5,"held":4.5,"fresh":5.5,"faults":6.5,"due":7.5,"out":8000000000}]}`

// TestSnapshotFormat checks that this version reads the snapshot of an earlier version, and writes it in the same format.
func TestSnapshotFormat(t *testing.T) {
	const file = "../compat/testdata/sealed/beliefs-n7.kept"
	var b storedSnapshot
	if err := json.Unmarshal([]byte(snapshotText), &b); err != nil {
		t.Fatal(err)
	}
	dir, quiet := t.TempDir(), slog.New(slog.DiscardHandler)
	if err := newSnapshotFile(dir, "n7", quiet).Save(b); err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(filepath.Join(dir, "beliefs-n7.kept"))
	if err != nil {
		t.Fatal(err)
	}
	if os.Getenv("GRADEUSHER_WRITE_GOLDEN") == "1" {
		if err := os.WriteFile(file, got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("written %s, want %s: %v", got, want, err)
	}
	read, err := newSnapshotFile(filepath.Dir(file), "n7", quiet).Read()
	if err != nil {
		t.Fatal(err)
	}
	if again, err := json.Marshal(read); err != nil || string(again) != snapshotText {
		t.Errorf("read as %s: %v", again, err)
	}
}
