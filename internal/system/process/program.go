package process

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"gradeusher.example/gradeusher/internal/system/settings"
)

// Exit statuses.
const (
	exitFailure = 1 // a command failed
	exitUsage   = 2 // the command line is wrong
)

// Program describes one of the system's programs.
type Program struct {
	Name        string // used in messages
	Description string // used in the help text
	Role        settings.Role
	Run         func(*Process) error // runs the role until the process must shut down
}

// commandLine is the command line of every program of the system.
type commandLine struct {
	Run   runCommand   `cmd:"" help:"Run the role until SIGTERM."`
	Check checkCommand `cmd:"" help:"Check the settings file and report the first error in one line."`
}

type runCommand struct {
	LogLevel string `default:"info" help:"Minimum level of log entries: debug, info, warn or error."`
	Metrics  int    `default:"0" placeholder:"PORT" help:"Port of the machine's address that serves /metrics; 0: metrics are not served."`
}

type checkCommand struct {
	File string `arg:"" optional:"" help:"The settings file; otherwise the one that GRADEUSHER_BOOT names."`
}

// Main runs a program according to its command line. On failure it writes one line with the reason to standard error and exits, with
// status 2 if the command line is invalid and with status 1 if the command fails.
func Main(program Program) {
	var commands commandLine
	parser, err := kong.New(&commands, kong.Name(program.Name), kong.Description(program.Description), kong.UsageOnError())
	if err != nil {
		program.fail(exitFailure, err)
	}
	call, err := parser.Parse(os.Args[1:])
	if err != nil {
		program.fail(exitUsage, err)
	}
	if err := call.Run(program); err != nil {
		program.fail(exitFailure, err)
	}
}

// fail writes one line with the reason to standard error and exits.
func (p Program) fail(code int, err error) {
	fmt.Fprintf(os.Stderr, "%s: %v\n", p.Name, err)
	os.Exit(code)
}

// Run validates a settings file.
func (c *checkCommand) Run(program Program) error {
	var err error
	if c.File != "" {
		_, err = settings.Load(c.File, program.Role)
	} else {
		_, err = settings.FromEnvironment(program.Role)
	}
	return err
}

// Run runs the program's role.
func (c *runCommand) Run(program Program) error {
	text, err := settings.ReadFromEnvironment()
	if err != nil {
		return err
	}
	loaded, err := settings.Parse(text, program.Role)
	if err != nil {
		return err
	}
	logger, err := newLogger(c.LogLevel)
	if err != nil {
		return err
	}
	loaded.Limits.ApplyToRuntime()
	logViolations(logger, loaded.Node)
	terminated, reload, stop := notifySignals(context.Background())
	defer stop()
	return program.Run(&Process{
		Settings:    loaded,
		Log:         logger.WithField("node", loaded.Node),
		program:     program,
		metricsPort: c.Metrics,
		terminated:  terminated,
		reload:      reload,
		file:        newSettingsFile(program.Role, settings.ReadFromEnvironment, text, loaded),
	})
}
