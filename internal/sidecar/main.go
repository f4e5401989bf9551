package sidecar

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
)

// Main is the sidecar as a program: its configuration comes from the environment; SIGTERM has it finish and end, and SIGHUP read
// its configuration again for where discovery is. Its log goes to logTo. It returns the exit code, after one line there where it
// failed.
func Main(getenv func(string) string, logTo io.Writer) int {
	signal.Ignore(syscall.SIGXFSZ) // a file that may not grow is a failed write, not the end of the process
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	config, err := LoadConfig(getenv)
	if err == nil {
		err = Run(stop, config, slog.New(slog.NewTextHandler(logTo, nil)), reload,
			func() (string, error) { return DiscoveryAt(getenv) })
	}
	if err != nil {
		_, _ = fmt.Fprintln(logTo, "sidecar:", strings.ReplaceAll(err.Error(), "\n", "; "))
		return 1
	}
	return 0
}
