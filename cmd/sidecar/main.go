// Command sidecar stands beside one copy of the calling application and passes its requests to servers, as the
// decision module says. Its configuration comes from the environment; SIGTERM has it finish and exit, and
// SIGHUP read its configuration again for where discovery is.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"beechmill.example/beechmill/internal/sidecar"
)

func main() {
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	config, err := sidecar.LoadConfig(os.Getenv)
	if err == nil {
		err = sidecar.Run(stop, config, slog.New(slog.NewTextHandler(os.Stderr, nil)), reload,
			func() (string, error) { return sidecar.DiscoveryAt(os.Getenv) })
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "sidecar:", strings.ReplaceAll(err.Error(), "\n", "; "))
		os.Exit(1)
	}
}
