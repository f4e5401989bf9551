package process

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/settings"
)

// killMargin is the time left between a process's own exit and the moment at which the platform kills it.
const killMargin = 700 * time.Millisecond

// GracePeriod returns how long a process may take to exit after SIGTERM if the platform kills it graceSeconds after the signal. It is
// negative if graceSeconds is shorter than killMargin.
func GracePeriod(graceSeconds float64) time.Duration {
	return settings.Seconds(graceSeconds) - killMargin
}

// Process is one run of a program.
type Process struct {
	Settings *settings.Settings
	Log      log.Interface

	program     Program
	metricsPort int              // port of /metrics; 0: metrics are not served
	terminated  context.Context  // done on SIGTERM or an interrupt
	reload      <-chan os.Signal // SIGHUPs
	file        *settingsFile
}

// newLogger returns a logger that writes one logfmt line per entry to standard error.
func newLogger(level string) (log.Interface, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, errors.Newf("log level %q is unknown: use debug, info, warn or error", level)
	}
	return &log.Logger{Handler: logfmt.New(os.Stderr), Level: parsed}, nil
}

// notifySignals returns a context that is canceled by SIGTERM or an interrupt, and a channel that receives SIGHUPs. The caller must call
// stop.
func notifySignals(parent context.Context) (ctx context.Context, reload <-chan os.Signal, stop func()) {
	ctx, cancel := signal.NotifyContext(parent, syscall.SIGTERM, syscall.SIGINT)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return ctx, hangups, func() {
		signal.Stop(hangups)
		cancel()
	}
}

// Wait returns when the process must shut down: on SIGTERM or an interrupt, or when ctx is done. Meanwhile it validates the settings
// file on each SIGHUP, and whenever the file has changed without one. It passes the seeds of a valid file to setSeeds if they differ
// from the last ones. All other settings stay as they are while the process runs; changes of them take effect at its next start.
func (p *Process) Wait(ctx context.Context, setSeeds func(ips []string)) {
	check := time.NewTicker(settingsCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.terminated.Done():
			return
		case <-p.reload:
			p.file.read()
			p.applySettings(setSeeds)
		case <-check.C:
			if p.file.read() {
				p.applySettings(setSeeds)
			}
		}
	}
}

// applySettings validates the settings file as it was last read, logs the result, and applies the seeds that it names.
func (p *Process) applySettings(setSeeds func(ips []string)) {
	seeds, changed, err := p.file.newSeeds()
	if err != nil {
		p.Log.WithError(err).Warn(p.program.Name + ": settings file rejected; the running settings stay in use")
		return
	}
	if changed {
		p.Log.WithField("seeds", strings.Join(seeds, ",")).Info(p.program.Name + ": the settings name other seeds, which are in use from now on")
		setSeeds(seeds)
	}
	p.Log.Info(p.program.Name + ": the settings file is valid; changes take effect at the next start")
}
