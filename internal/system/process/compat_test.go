package process

import (
	"slices"
	"testing"

	"github.com/alecthomas/kong"
)

// TestCommandNames checks the commands and flags that deployments use for the proxy and the control plane.
func TestCommandNames(t *testing.T) {
	parser, err := kong.New(&commandLine{})
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, n := range parser.Model.Children {
		got = append(got, n.Name)
		for _, f := range n.Flags {
			got = append(got, n.Name+" --"+f.Name)
		}
		for _, p := range n.Positional {
			got = append(got, n.Name+" <"+p.Name+">")
		}
	}
	if want := []string{"run", "run --log-level", "run --metrics", "check", "check <file>"}; !slices.Equal(got, want) {
		t.Errorf("commands and flags are %q, want %q", got, want)
	}
	if MetricsPath != "/metrics" {
		t.Errorf("metrics are at %q", MetricsPath)
	}
}
