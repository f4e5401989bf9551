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

// Main runs the sidecar as a program, configured by the environment. On SIGTERM it finishes its
// requests and ends; on SIGHUP it reads the address of discovery from the configuration again. It
// logs to logTo and returns the exit code; a failure is also reported there, on one line.
func Main(getenv func(string) string, logTo io.Writer) int {
	signal.Ignore(syscall.SIGXFSZ) // exceeding the file size limit is a failed write, not the end of the process
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
