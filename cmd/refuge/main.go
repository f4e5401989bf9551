// Command refuge is the keeper of the system: it holds the control state on disk, in a chain with the other keepers, takes
// the operator's calls, and feeds the proxies. The settings file is named by GRADEUSHER_BOOT.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"gradeusher.example/gradeusher/internal/hut"
)

type commands struct {
	Run   runCommand   `cmd:"" help:"Keep the control state until SIGTERM."`
	Check checkCommand `cmd:"" help:"Check the settings file and say what is wrong in one line."`
}

type runCommand struct {
	LogLevel string `default:"info" help:"Least level that is logged: debug, info, warn or error."`
}

type checkCommand struct {
	File string `arg:"" optional:"" help:"The settings file; otherwise the one that GRADEUSHER_BOOT names."`
}

// Run implements the command.
func (c *checkCommand) Run() error {
	var err error
	if c.File != "" {
		_, err = hut.Load(c.File, hut.Keeper)
	} else {
		_, err = hut.FromEnvironment(hut.Keeper)
	}
	return err
}

func main() {
	var c commands
	parser, err := kong.New(&c, kong.Name("refuge"), kong.Description("Keeper of the gradeusher system."), kong.UsageOnError())
	if err != nil {
		fail(1, err)
	}
	call, err := parser.Parse(os.Args[1:])
	if err != nil {
		fail(2, err)
	}
	if err := call.Run(); err != nil {
		fail(1, err)
	}
}

func fail(code int, err error) {
	fmt.Fprintf(os.Stderr, "refuge: %v\n", err)
	os.Exit(code)
}
