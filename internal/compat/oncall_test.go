package compat

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// quotedLine matches a log line that a page quotes: a part's name, a colon and the message.
var quotedLine = regexp.MustCompile("`([a-z]+: [^`]+)`")

// placeholder matches what stands for a value in a quoted line.
var placeholder = regexp.MustCompile(`\bN\b|\.\.\.|\bE\b|"\.\.\."|, $`)

// programPrefix matches the start of a line that a program composes from its own name.
var programPrefix = regexp.MustCompile(`^(?:controlplane|proxy): `)

// minFragment is the length in bytes below which a fragment of a line proves nothing.
const minFragment = 8

// programText is the text of all Go files of the system's programs, without their tests.
func programText(t *testing.T) string {
	t.Helper()
	var text strings.Builder
	for _, root := range []string{"../system", "../../cmd"} {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			content, err := os.ReadFile(path)
			text.Write(content)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return text.String()
}

// writes reports whether the sources contain a fragment of a line, or compose it from the name of the program and the message.
func writes(sources, fragment string) bool {
	if strings.Contains(sources, fragment) {
		return true
	}
	prefix := programPrefix.FindString(fragment)
	return prefix != "" && strings.Contains(sources, `program.Name + ": `+strings.TrimPrefix(fragment, prefix))
}

// TestQuotedLogLinesExist reads the page for on-call staff: each log line that it quotes is written by the system's code. Otherwise
// staff would search a log for text that no version writes any more.
func TestQuotedLogLinesExist(t *testing.T) {
	page, err := os.ReadFile("../../docs/oncall-system.md")
	if err != nil {
		t.Fatal(err)
	}
	text := programText(t)
	found := 0
	for _, match := range quotedLine.FindAllStringSubmatch(strings.ReplaceAll(string(page), "\n", " "), -1) {
		for _, fragment := range placeholder.Split(match[1], -1) {
			fragment = strings.TrimSpace(fragment)
			if len(fragment) < minFragment {
				continue
			}
			found++
			if !writes(text, fragment) {
				t.Errorf("no code writes %q of %q", fragment, match[1])
			}
		}
	}
	if found < 20 {
		t.Errorf("only %d fragments were found on the page: does it quote lines in another form?", found)
	}
}
