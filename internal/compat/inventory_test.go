package compat

import (
	"bufio"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// testDeclaration matches the declaration of a test, fuzz test or benchmark.
var testDeclaration = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)[A-Z0-9]\w*)\(`)

// modulePrefix begins each line of the inventory.
const modulePrefix = "gradeusher.example/gradeusher/"

// movedPackages maps folders of the inventory to those of now. Where a package was split, the table of renamed tests says where
// each of its tests is.
var movedPackages = []struct{ from, to string }{
	{"cmd/keeper", "cmd/controlplane"},
	{"internal/lab/world", "internal/lab/testcluster"},
	{"internal/sidecar/duty", "internal/sidecar/singleton"},
	{"internal/sidecar/keeper", "internal/sidecar/registry"},
	{"internal/system/conf", "internal/system/config"},
	{"internal/system/control", "internal/system/operatorapi"},
	{"internal/system/staff", "internal/system/admin"},
}

// currentPackage returns the folder in which a package of the inventory is now.
func currentPackage(pkg string) string {
	for _, moved := range movedPackages {
		if rest, found := strings.CutPrefix(pkg, moved.from); found && (rest == "" || rest[0] == '/') {
			return moved.to + rest
		}
	}
	return pkg
}

// declaredTests returns all tests of the repository as "PACKAGE NAME".
func declaredTests(t *testing.T) map[string]bool {
	t.Helper()
	declared := map[string]bool{}
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		folder, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil {
			return err
		}
		for _, match := range testDeclaration.FindAllStringSubmatch(string(text), -1) {
			declared[filepath.ToSlash(folder)+" "+match[1]] = true
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return declared
}

// inventoryLines returns the lines of a file in testdata.
func inventoryLines(t *testing.T, name string) []string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for scanner := bufio.NewScanner(strings.NewReader(string(text))); scanner.Scan(); {
		lines = append(lines, scanner.Text())
	}
	return lines
}

// TestNoTestIsLost compares the tests of now with the inventory that was taken before the names were changed. A test that is renamed
// or moved stands in tests_renamed.txt, "PACKAGE NAME -> PACKAGE NAME". Danger: a test is lost while it is moved.
func TestNoTestIsLost(t *testing.T) {
	renamed := map[string]string{}
	for _, line := range inventoryLines(t, "tests_renamed.txt") {
		before, after, found := strings.Cut(line, " -> ")
		if !found {
			t.Fatalf("tests_renamed.txt: %q has no arrow", line)
		}
		renamed[before] = after
	}
	declared := declaredTests(t)
	for _, line := range inventoryLines(t, "tests_before.txt") {
		before := strings.TrimPrefix(line, modulePrefix)
		after, found := renamed[before]
		if !found {
			pkg, name, _ := strings.Cut(before, " ")
			after = currentPackage(pkg) + " " + name
		}
		if !declared[after] {
			t.Errorf("%s was a test; %s is none", before, after)
		}
	}
}
