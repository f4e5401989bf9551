package compat

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
)

// writing tells whether the files are to be written anew.
func writing() bool { return os.Getenv("GRADEUSHER_WRITE_GOLDEN") == "1" }

// golden compares bytes with a file of testdata.
func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if writing() {
		if err := os.WriteFile(path, got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs.\ngot:\n%s\nwant:\n%s", name, got, want)
	}
}

// goldenJSON compares a value's JSON, indented and with sorted keys, with a file of testdata.
func goldenJSON(t *testing.T, name string, text []byte) {
	t.Helper()
	var v any
	if err := json.Unmarshal(text, &v); err != nil {
		t.Fatalf("%s: %v in %s", name, err, text)
	}
	out, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden(t, name, append(out, '\n'))
}
