package deploy

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	testName = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z][A-Za-z0-9_]*`)
	testFunc = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)[A-Z][A-Za-z0-9_]*)\(`)
	goFile   = regexp.MustCompile("`(?:[A-Za-z0-9_./-]+/)?([A-Za-z0-9_-]+\\.go)`")
	folder   = regexp.MustCompile("`((?:internal|cmd|balance|deploy|docs)/[A-Za-z0-9_/-]+)`")
)

// historyPage tells of the past, in its names.
const historyPage = "history.md"

// TestDocsNameTestsThatExist reads the documents: each test that one names is there. A page may not say that a fault is kept away by a
// test which nobody has written, or which has another name by now.
func TestDocsNameTestsThatExist(t *testing.T) {
	known := map[string]bool{}
	for _, text := range readAll(t, "_test.go") {
		for _, m := range testFunc.FindAllStringSubmatch(text, -1) {
			known[m[1]] = true
		}
	}
	if len(known) == 0 {
		t.Fatal("no tests were found")
	}
	for path, text := range readAll(t, ".md") {
		for _, name := range testName.FindAllString(text, -1) {
			if !known[name] {
				t.Errorf("%s names %s, which is no test", path, name)
			}
		}
	}
}

// TestDocsNameFilesThatExist reads the documents but the history: each Go file, by its last element, and each folder that one names in
// code quotes is there.
func TestDocsNameFilesThatExist(t *testing.T) {
	known := map[string]bool{}
	for path := range readAll(t, ".go") {
		known[filepath.Base(path)] = true
	}
	if len(known) == 0 {
		t.Fatal("no Go files were found")
	}
	for path, text := range readAll(t, ".md") {
		if filepath.Base(path) == historyPage {
			continue
		}
		for _, match := range goFile.FindAllStringSubmatch(text, -1) {
			if !known[match[1]] {
				t.Errorf("%s names %s, which is no file", path, match[1])
			}
		}
		for _, match := range folder.FindAllStringSubmatch(text, -1) {
			if _, err := os.Stat(filepath.Join(root, match[1])); err != nil {
				t.Errorf("%s names %s: %v", path, match[1], err)
			}
		}
	}
}

// readAll reads the files of the project whose names end so, by path.
func readAll(t *testing.T, suffix string) map[string]string {
	t.Helper()
	found := map[string]string{}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && (d.Name() == ".git" || d.Name() == "target" || d.Name() == "journal"):
			return filepath.SkipDir
		case d.IsDir() || !strings.HasSuffix(path, suffix):
			return nil
		}
		text, err := os.ReadFile(path)
		found[path] = string(text)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}
