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

// heapShare is the share of the memory limit that the heap may grow to.
const heapShare = 0.7

// drainTimes say how a process starts and how a planned restart goes.
type drainTimes struct {
	agent                  time.Duration // to hear what an agent has, before the first request
	accept                 time.Duration // new connections still arrive for 0.4 s after the restart is announced
	quietTime              time.Duration // and then none may be left waiting
	closeIdle              time.Duration // while a client that was about to use a connection can still open another
	closeIdleWhileDraining time.Duration // as closeIdle, for a drain that operators began
	finish                 time.Duration // after the last connection was accepted, before the process is killed
}

// defaultDrainTimes are those of a real process; tests have shorter ones.
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

// Run is the sidecar, from its configuration to the end of its last request after stop is done. Each time that reload
// delivers, it reads where discovery is with discoveryAt and moves there.
func Run(stop context.Context, c *Config, log *slog.Logger, reload <-chan os.Signal, discoveryAt func() (string, error)) error {
	return run(stop, c, log, reload, discoveryAt, defaultDrainTimes())
}

// setMemory bounds the heap by a part of the memory limit.
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
	// What answers the last requests goes on after stop is done.
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

// startSnapshots saves snapshots until the returned function is called, which saves the last one. The host's loop has to run
// meanwhile.
func (p *process) startSnapshots(stop context.Context) (finish func()) {
	ctx, cancel := context.WithCancel(stop)
	var saving sync.WaitGroup
	saving.Go(func() { p.host.saveSnapshots(ctx) })
	return func() {
		cancel()
		saving.Wait()
	}
}

// startServer makes the server and starts what runs beside it until ctx is done.
func (p *process) startServer(ctx context.Context) {
	s := newServer(p.config, p.host)
	p.server = s
	p.loops.Go(func() { s.logCounts(ctx, p.log) })
	if p.listeners.control == nil {
		return
	}
	p.loops.Go(func() { s.closeIdleWhileDraining(ctx, p.times.closeIdleWhileDraining) })
	p.loops.Go(func() { newControl(p.log, s.handleCall).serve(ctx, p.listeners.control) })
	if p.config.InheritedFD != 0 { // there may be another process
		p.followSibling(ctx)
		p.loops.Go(func() {
			p.host.handover.follow(ctx, func() { p.host.post(p.host.applyOutOfService) })
		})
	}
}

// followSibling shares the limits with another process as long as there is one. Without the lock it is as if there were none.
func (p *process) followSibling(ctx context.Context) {
	sibling, err := newSiblingLock(p.host.handover.path)
	if err != nil {
		p.log.Warn("beside", "err", err)
		return
	}
	p.loops.Go(func() {
		defer sibling.close()
		sibling.follow(ctx, p.server.shareLimits)
	})
}

// serve answers clients until stop is done, and then finishes what they have begun.
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

// drain is the planned end of a process.
func (p *process) drain(listener *drainListener, web *http.Server, ended <-chan error) error {
	p.log.Info("draining")
	p.server.shuttingDown.Store(true)
	p.server.shutdown.begin(time.Now())
	if p.host.members != nil {
		p.host.watchers.Go(p.host.members.Close) // the process that follows takes its place
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

// stopAccepting ends the listener. What waits in the backlog of an inherited one is for the other process. One of this
// process's own goes on accepting first, and only asks clients to close: connections that wait when it closes are reset, and
// what they sent is lost.
func (p *process) stopAccepting(l *drainListener) error {
	if p.config.InheritedFD != 0 {
		return l.stopNow()
	}
	return l.drain(p.times.accept)
}

// awaitEnd returns once the listener has ended and no connection is left or, after some time, no request. Clients' connections
// that idle are closed from idleAt on.
func (s *server) awaitEnd(accepting *drainListener, listener <-chan error, idleAt time.Time, times drainTimes) error {
	tick := time.NewTicker(max(times.quietTime, time.Millisecond))
	defer tick.Stop()
	var until time.Time // connections without a request are waited for; zero: the listener has not ended
	for {
		select {
		case <-listener: //nolint:errcheck // it ended as it was told to
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

// hasEnded tells whether no connection is left or, when it is late, no request. A connection is busy from before its first
// request is known of until after its last one is answered.
func (s *server) hasEnded(late bool) bool {
	return s.connections.count.Load() == 0 || late && s.active.Load() == 0
}

// listeners are the sockets of a process.
type listeners struct {
	clients *net.TCPListener
	control *net.TCPListener // nil: operators cannot call
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

// close closes the sockets that are open. They may have been closed before.
func (l listeners) close() {
	if l.control != nil {
		_ = l.control.Close()
	}
	_ = l.clients.Close()
}
