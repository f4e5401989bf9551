// Command gradeusher is what operators use: it starts fleets, runs experiments, and is every process of the product.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"gradeusher.example/gradeusher/internal/lab/plan"
	"gradeusher.example/gradeusher/internal/sidecar"
)

// Exit codes, on which scripts rely.
const (
	exitFailure = 1 // an invariant or bar did not hold, or the work failed
	exitUsage   = 2 // bad usage or a bad file
)

type commands struct {
	Up      upCommand             `cmd:"" help:"Start a keeper, stand-in servers, two sidecars and light traffic on this machine, and print figures."`
	Lab     labCommand            `cmd:"" help:"Run experiments with real processes and faults between them."`
	Keeper  registryCommand       `cmd:"" help:"Be a keeper of the list, or look after keepers."`
	List    listCommands          `cmd:"" help:"Read and change the keepers' list of servers."`
	Duty    roleCommands          `cmd:"" help:"See, hold, release and move duties, which one process holds at a time."`
	Status  registryStatusCommand `cmd:"" help:"Show what each keeper knows: leader, term, revision, age, watchers."`
	System  systemCommand         `cmd:"" help:"Start, look at, back up and restore the system of proxies and keepers."`
	Sidecar sidecarCommand        `cmd:"" help:"Be a sidecar, configured as bin/sidecar by PROXY_CONFIG and the other variables."`
	StandIn standInCommand        `cmd:"" name:"stand-in" hidden:"" help:"Be a stand-in process of an experiment."`
}

// streams are where a command reads and writes.
type streams struct {
	in       io.Reader
	out, err io.Writer
	env      func(string) string
}

// errReported ends a command with exitFailure after it has said why on its output.
var errReported = errors.New("broken")

func main() { os.Exit(run(os.Args[1:], streams{os.Stdin, os.Stdout, os.Stderr, os.Getenv})) }

// run is the command with its arguments, to its exit code.
func run(args []string, stdio streams) int {
	var c commands
	exited := -1
	parser, err := kong.New(&c, kong.Name("gradeusher"), kong.Writers(stdio.out, stdio.err), kong.Exit(func(code int) { exited = code }),
		kong.Description("Sidecars that pass requests to servers, and the fleet around them."), kong.Bind(stdio))
	if err != nil {
		return fail(stdio, err, exitUsage)
	}
	parsed, err := parser.Parse(args)
	switch {
	case exited >= 0:
		return exited // help was asked for
	case err != nil:
		return fail(stdio, err, exitUsage)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	parsed.BindTo(ctx, (*context.Context)(nil))
	err = parsed.Run()
	var bad *plan.Error
	var code exitCodeError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &code):
		return int(code)
	case errors.Is(err, errReported):
		return exitFailure
	case errors.As(err, &bad), errors.Is(err, errUsage):
		return fail(stdio, err, exitUsage)
	}
	return fail(stdio, err, exitFailure)
}

var errUsage = errors.New("usage")

// exitCodeError ends a command with a code, after it has said all there is to say.
type exitCodeError int

func (c exitCodeError) Error() string { return fmt.Sprintf("exit %d", int(c)) }

// fail says what is wrong in one line.
func fail(stdio streams, err error, code int) int {
	fmt.Fprintln(stdio.err, "gradeusher:", strings.ReplaceAll(err.Error(), "\n", "; "))
	return code
}

type sidecarCommand struct{}

// Run is the sidecar to its end.
func (sidecarCommand) Run(stdio streams) error {
	if code := sidecar.Main(stdio.env, stdio.err); code != 0 {
		return exitCodeError(code)
	}
	return nil
}
