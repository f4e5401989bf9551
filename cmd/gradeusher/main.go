// Package main is the program gradeusher, the command line of operators and of the project's engineers. It starts fleets, runs
// experiments with real processes, looks after the registry and its singleton roles, and shows, backs up and restores the system of
// proxies and control-plane nodes.
//
// Scripts rely on the names of commands and flags, on environment variables, on the JSON that --json prints and on exit codes. Some of
// those names are older than the terms of docs/glossary.md: "keeper" stands for a node of the registry or of the control plane, and
// "duty" for a singleton role. TestCommandNames guards the names.
//
// Each command is a struct: its fields are flags and arguments, from which kong parses, and its Run does the work.
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
	exitSuccess = 0
	exitFailure = 1 // an invariant or bar did not hold, or the work failed
	exitUsage   = 2 // bad usage or a bad file
)

// commands are the commands of the program; their names and flags are fixed, as the package comment says.
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

// streams are where a command reads and writes, and its environment.
type streams struct {
	in       io.Reader
	out, err io.Writer
	env      func(string) string
}

// printf writes to standard output. A reader that has gone ends no command: its work counts, not its output.
func (s streams) printf(format string, values ...any) { _, _ = fmt.Fprintf(s.out, format, values...) }

// println writes a line to standard output, as printf does.
func (s streams) println(values ...any) { _, _ = fmt.Fprintln(s.out, values...) }

// Errors that decide the exit code.
var (
	// errReported ends a command with exitFailure after it has said why on its output.
	errReported = errors.New("failed as reported")
	// errUsage ends a command with exitUsage: arguments or a file make no sense.
	errUsage = errors.New("usage")
)

// exitCodeError ends a command with a code, after it has said all there is to say.
type exitCodeError int

func (c exitCodeError) Error() string { return fmt.Sprintf("exit %d", int(c)) }

func main() { os.Exit(run(os.Args[1:], streams{os.Stdin, os.Stdout, os.Stderr, os.Getenv})) }

// run runs the command that the arguments name and returns its exit code.
func run(args []string, stdio streams) int {
	var all commands
	const notExited = -1
	exited := notExited
	parser, err := kong.New(&all, kong.Name("gradeusher"), kong.Writers(stdio.out, stdio.err), kong.Exit(func(code int) { exited = code }),
		kong.Description("Sidecars that pass requests to servers, and the fleet around them."), kong.Bind(stdio))
	if err != nil {
		return fail(stdio, err, exitUsage)
	}
	parsed, err := parser.Parse(args)
	if exited != notExited {
		return exited // help was asked for
	}
	if err != nil {
		return fail(stdio, err, exitUsage)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	parsed.BindTo(ctx, (*context.Context)(nil))
	return exitCodeOf(stdio, parsed.Run())
}

// exitCodeOf maps the error of a command to the exit code, and prints those that were not reported yet.
func exitCodeOf(stdio streams, err error) int {
	var badPlan *plan.Error
	var code exitCodeError
	switch {
	case err == nil:
		return exitSuccess
	case errors.As(err, &code):
		return int(code)
	case errors.Is(err, errReported):
		return exitFailure
	case errors.As(err, &badPlan), errors.Is(err, errUsage):
		return fail(stdio, err, exitUsage)
	}
	return fail(stdio, err, exitFailure)
}

// fail prints an error in one line and returns the code.
func fail(stdio streams, err error, code int) int {
	_, _ = fmt.Fprintln(stdio.err, "gradeusher:", strings.ReplaceAll(err.Error(), "\n", "; ")) // the code says it too
	return code
}

type sidecarCommand struct{}

// Run is the sidecar until SIGTERM.
func (sidecarCommand) Run(stdio streams) error {
	if code := sidecar.Main(stdio.env, stdio.err); code != 0 {
		return exitCodeError(code)
	}
	return nil
}
