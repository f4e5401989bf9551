package main

import (
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

// names are the commands below a node with their flags and arguments, a line each.
func names(node *kong.Node) []string {
	path := node.FullPath()
	all := []string{path}
	for _, f := range node.Flags {
		line := path + " --" + f.Name
		for _, e := range f.Envs {
			line += " $" + e
		}
		all = append(all, line)
	}
	for _, p := range node.Positional {
		all = append(all, path+" <"+p.Name+">")
	}
	for _, c := range node.Children {
		all = append(all, names(c)...)
	}
	return all
}

// TestCommandNames: scripts name these commands and flags.
func TestCommandNames(t *testing.T) {
	parser, err := kong.New(&commands{}, kong.Name("gradeusher"))
	if err != nil {
		t.Fatal(err)
	}
	all := names(parser.Model.Node)
	slices.Sort(all)
	got := strings.Join(all, "\n") + "\n"
	const file = "../../internal/compat/testdata/commands.txt"
	if os.Getenv("GRADEUSHER_WRITE_GOLDEN") == "1" {
		if err := os.WriteFile(file, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("commands and flags:\n%s\nwant:\n%s", got, want)
	}
}
