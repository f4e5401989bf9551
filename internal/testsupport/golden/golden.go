// Package golden reads and writes the files with which golden traces compare their lines. Only tests use it.
package golden

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Writing reports whether golden files are to be written anew, which a change of behaviour asks for by GRADEUSHER_WRITE_GOLDEN=1.
func Writing() bool { return os.Getenv("GRADEUSHER_WRITE_GOLDEN") == "1" }

// ReadLines returns the lines of a golden file. The test fails where the file is missing, unless it is to be written.
func ReadLines(t *testing.T, path string) []string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil && !Writing() {
		t.Fatal(err)
	}
	return strings.Split(string(text), "\n")
}

// WriteLines writes a golden file anew, with its folder.
func WriteLines(t *testing.T, path string, lines []string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
		t.Fatal(err)
	}
}
