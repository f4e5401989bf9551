package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"time"
)

// heapShare is the share of the memory limit that the heap may use.
const heapShare = 0.7

// drainTimes are the timings of a process's start and of a planned restart.
type drainTimes struct {
	agent                  time.Duration // wait for an agent's list before the first request
	accept                 time.Duration // new connections still arrive for 0.4 s after the restart is announced
	quietTime              time.Duration // after that, the backlog must be empty for so long
	closeIdle              time.Duration // by then, a client that was about to use an idle connection can still open another
	closeIdleWhileDraining time.Duration // as closeIdle, for a drain begun by operators
	finish                 time.Duration // after the last connection was accepted, until the process would be killed
}

// defaultDrainTimes returns the timings of a production process; tests use shorter ones.
func defaultDrainTimes() drainTimes {
	return drainTimes{
		agent:                  250 * time.Millisecond,
		accept:                 450 * time.Millisecond,
		quietTime:              25 * time.Millisecond,
		closeIdle:              300 * time.Millisecond,
		closeIdleWhileDraining: time.Second,
		finish:                 3 * time.Second,
	}
}

// Run runs the sidecar until stop is done and its last request has ended. On each signal from reload,
// it calls discoveryAt for the address of discovery and moves there.
func Run(stop context.Context, c *Config, log *slog.Logger, reload <-chan os.Signal, discoveryAt func() (string, error)) error {
	return run(stop, c, log, reload, discoveryAt, defaultDrainTimes())
}

// setMemory limits the heap to a part of the memory limit.
func setMemory(limitMB int, part float64) {
	debug.SetMemoryLimit(int64(float64(limitMB<<20) * heapShare * part))
}

// process is one run of a sidecar.
type process struct {
	config    *Config
	log       *slog.Logger
	times     drainTimes
	listeners listeners
	host      *host
	server    *server
	loops     sync.WaitGroup // goroutines that end with the host's context
}

func run(stop context.Context, config *Config, log *slog.Logger, reload <-chan os.Signal, discoveryAt func() (string, error), times drainTimes) error {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(config.Cores))))
	setMemory(config.MemoryMB, 1)
	listeners, err := openListeners(config)
	if err != nil {
		return err
	}
	defer listeners.close()
	// The goroutines that serve the last requests must continue after stop is done.
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	driver, err := newHost(ctx, config, log)
	if err != nil {
		return err
	}
	if err := driver.startFollowing(config); err != nil { //nolint:contextcheck // the host has its context
		return err
	}
	started := &process{config: config, log: log, times: times, listeners: listeners, host: driver}
	started.loops.Go(func() { driver.run(ctx) })
	defer driver.watchers.Wait()
	defer started.loops.Wait()
	defer cancel()
	started.loops.Go(func() { driver.reload(ctx, reload, discoveryAt) })
	if driver.snapshots != nil {
		defer started.startSnapshots(stop)()
	}
	started.startServer(ctx)
	return started.serve(stop)
}

// startSnapshots saves snapshots until the returned function is called, which saves the last one. The
// host's loop must be running until then.
func (p *process) startSnapshots(stop context.Context) (finish func()) {
	ctx, cancel := context.WithCancel(stop)
	var saving sync.WaitGroup
	saving.Go(func() { p.host.saveSnapshots(ctx) })
	return func() {
		cancel()
		saving.Wait()
	}
}

// startServer creates the server and starts its background goroutines, which run until ctx is done.
func (p *process) startServer(ctx context.Context) {
	s := newServer(p.config, p.host)
	p.server = s
	p.loops.Go(func() { s.logCounts(ctx, p.log) })
	if p.listeners.control == nil {
		return
	}
	p.loops.Go(func() { s.closeIdleWhileDraining(ctx, p.times.closeIdleWhileDraining) })
	p.loops.Go(func() { newControl(p.log, s.handleCall).serve(ctx, p.listeners.control) })
	if p.config.InheritedFD != 0 { // another process of this sidecar may be running
		p.followSibling(ctx)
		p.loops.Go(func() {
			p.host.handover.follow(ctx, func() { p.host.post(p.host.applyOutOfService) })
		})
	}
}

// followSibling shares the limits with another process of this sidecar as long as there is one. If
// the lock cannot be taken, it assumes that there is none.
func (p *process) followSibling(ctx context.Context) {
	sibling, err := newSiblingLock(p.host.handover.path)
	if err != nil {
		p.log.Warn("sibling lock: cannot detect another process of this sidecar", "err", err)
		return
	}
	p.loops.Go(func() {
		defer sibling.close()
		sibling.follow(ctx, p.server.shareLimits)
	})
}

// serve answers clients until stop is done, and then finishes the requests that have begun.
func (p *process) serve(stop context.Context) error {
	listener := &drainListener{TCPListener: p.listeners.clients, quietTime: p.times.quietTime, improper: &p.server.counts.improper}
	if p.host.moves != nil {
		p.host.awaitAgent(stop, p.times.agent)
	}
	web := p.server.httpServer(p.log)
	ended := make(chan error, 1)
	go func() { ended <- web.Serve(listener) }()
	p.log.Info("serving", "name", p.config.Name, "address", listener.Addr().String())
	select {
	case err := <-ended:
		return fmt.Errorf("serve: %w", err)
	case <-stop.Done():
	}
	return p.drain(listener, web, ended)
}

// drain ends a process as planned: it stops accepting connections and finishes its requests.
func (p *process) drain(listener *drainListener, web *http.Server, ended <-chan error) error {
	p.log.Info("draining")
	p.server.shuttingDown.Store(true)
	p.server.shutdown.begin(time.Now())
	if p.host.members != nil {
		p.host.watchers.Go(p.host.members.Close) // the next process becomes the member of this name
	}
	idleAt := time.Now().Add(p.times.closeIdle)
	if err := p.stopAccepting(listener); err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	if err := p.server.awaitEnd(listener, ended, idleAt, p.times); err != nil {
		return err
	}
	if err := web.Close(); err != nil {
		return fmt.Errorf("close: %w", err)
	}
	p.log.Info("drained")
	return nil
}

// stopAccepting stops the listener. What is in the backlog of an inherited one is left to the other
// process. A process with a listener of its own continues to accept for a while and only asks clients to
// close: closing the listener resets the connections in its backlog, and what they have sent is lost.
func (p *process) stopAccepting(l *drainListener) error {
	if p.config.InheritedFD != 0 {
		return l.stopNow()
	}
	return l.drain(p.times.accept)
}

// awaitEnd returns once the listener has ended and there is no connection or, after times.finish, no
// request left. Idle client connections are closed from idleAt on.
func (s *server) awaitEnd(accepting *drainListener, listener <-chan error, idleAt time.Time, times drainTimes) error {
	tick := time.NewTicker(max(times.quietTime, time.Millisecond))
	defer tick.Stop()
	var until time.Time // until when connections without a request are waited for; zero: the listener has not ended
	for {
		select {
		case <-listener: //nolint:errcheck // it was told to end
			listener, until = nil, time.Now().Add(times.finish)
		case now := <-tick.C:
			if listener != nil && s.config.InheritedFD != 0 {
				accepting.interrupt()
			}
			if now.After(idleAt) {
				s.connections.closeIdle(now)
			}
			if listener == nil && s.hasEnded(now.After(until)) {
				return nil
			}
		}
	}
}

// hasEnded reports whether there is no connection or, if late, no request left. A connection counts
// from before its first request is known until after its last one is answered.
func (s *server) hasEnded(late bool) bool {
	return s.connections.count.Load() == 0 || late && s.active.Load() == 0
}

// listeners are the listening sockets of a process.
type listeners struct {
	clients *net.TCPListener
	control *net.TCPListener // nil: no commands from operators
}

func openListeners(c *Config) (listeners, error) {
	var l listeners
	var err error
	if l.clients, err = openListener(c); err != nil {
		return l, fmt.Errorf("listen: %w", err)
	}
	if c.Control == "" {
		return l, nil
	}
	if l.control, err = listenTCP(c.Control); err != nil {
		l.close()
		return l, fmt.Errorf("control: %w", err)
	}
	return l, nil
}

// close closes the open sockets. They may have been closed before.
func (l listeners) close() {
	if l.control != nil {
		_ = l.control.Close()
	}
	_ = l.clients.Close()
}
