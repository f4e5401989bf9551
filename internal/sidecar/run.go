package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"time"
)

const heapShare = 0.7 // of the limit that the heap may grow to

// drainTimes say how a process begins and how a planned restart goes.
type drainTimes struct {
	agent                  time.Duration // to hear what an agent has, before the first request
	accept                 time.Duration // new connections go on coming for 0.4 s after the restart is announced
	quietTime              time.Duration // and then none may be left waiting
	closeIdle              time.Duration // while a client that was about to use one can still open another
	closeIdleWhileDraining time.Duration // as closeIdle, for a drain that staff began
	finish                 time.Duration // after the last connection was taken, before the process is killed
}

// Run is the sidecar, from its configuration to the end of its last request after stop is done. Each time that reload
// tells, it reads where discovery is with discoveryAt and moves there.
func Run(stop context.Context, c *Config, log *slog.Logger, reload <-chan os.Signal, discoveryAt func() (string, error)) error {
	return run(stop, c, log, reload, discoveryAt, drainTimes{agent: 250 * time.Millisecond, accept: 450 * time.Millisecond, quietTime: 25 * time.Millisecond,
		closeIdle: 300 * time.Millisecond, closeIdleWhileDraining: time.Second, finish: 3 * time.Second})
}

// setMemory bounds the heap by a part of the memory limit.
func setMemory(limitMB int, part float64) {
	debug.SetMemoryLimit(int64(float64(limitMB<<20) * heapShare * part))
}

func run(stop context.Context, c *Config, log *slog.Logger, reload <-chan os.Signal, discoveryAt func() (string, error), times drainTimes) error {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))
	setMemory(c.MemoryMB, 1)

	inner, err := openListener(c)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	defer inner.Close()
	var calls *net.TCPListener
	if c.Control != "" {
		if calls, err = listenTCP(c.Control); err != nil {
			return fmt.Errorf("control: %w", err)
		}
		defer calls.Close()
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h, err := newHost(ctx, c, log)
	if err != nil {
		return err
	}
	if err := h.startFollowing(c); err != nil {
		return err
	}
	var loop sync.WaitGroup
	loop.Add(1)
	go func() {
		defer loop.Done()
		h.run(ctx)
	}()
	defer h.watchers.Wait()
	defer loop.Wait()
	defer cancel()
	loop.Add(1)
	go func() {
		defer loop.Done()
		h.reload(ctx, reload, discoveryAt)
	}()

	if h.snapshots != nil {
		left, leave := context.WithCancel(stop)
		kept := make(chan struct{})
		go func() {
			defer close(kept)
			h.saveSnapshots(left)
		}()
		defer func() { // while the loop runs
			leave()
			<-kept
		}()
	}

	s := newServer(c, h)
	loop.Add(1)
	go func() {
		defer loop.Done()
		s.logCounts(ctx, log)
	}()
	if calls != nil {
		loop.Add(2)
		go func() {
			defer loop.Done()
			s.closeIdleWhileDraining(ctx, times.closeIdleWhileDraining)
		}()
		go func() {
			defer loop.Done()
			newControl(log, s.handleCall).serve(ctx, calls)
		}()
	}
	if calls != nil && c.InheritedFD != 0 { // there may be another process
		other, err := newSiblingLock(h.handover.path)
		if err != nil {
			log.Warn("beside", "err", err) // as if it were alone
		} else {
			loop.Add(1)
			go func() {
				defer loop.Done()
				defer other.close()
				other.follow(ctx, s.shareLimits)
			}()
		}
		loop.Add(1)
		go func() {
			defer loop.Done()
			h.handover.follow(ctx, func() { h.post(h.applyOutOfService) })
		}()
	}
	l := &drainListener{TCPListener: inner, quietTime: times.quietTime, improper: &s.counts.improper}
	if h.moves != nil {
		h.awaitAgent(stop, times.agent)
	}
	web := s.httpServer(log)
	ended := make(chan error, 1)
	go func() { ended <- web.Serve(l) }()
	log.Info("serving", "name", c.Name, "address", inner.Addr().String())
	select {
	case err := <-ended:
		return fmt.Errorf("serve: %w", err)
	case <-stop.Done():
	}
	log.Info("draining")
	s.shuttingDown.Store(true)
	s.shutdown.begin(time.Now())
	if h.members != nil {
		h.watchers.Go(h.members.Close) // the process that follows takes its place
	}
	idleAt := time.Now().Add(times.closeIdle)
	if c.InheritedFD != 0 {
		// What waits in the backlog is for the other process.
		err = l.stopNow()
	} else {
		// Danger: connections that are waiting when the listener closes are reset, and what they sent is lost. So this
		// goes on accepting and serving first, and only asks clients to close.
		err = l.drain(times.accept)
	}
	if err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	if err := s.awaitEnd(l, ended, idleAt, times); err != nil {
		return err
	}
	if err := web.Close(); err != nil {
		return fmt.Errorf("close: %w", err)
	}
	log.Info("drained")
	return nil
}

// awaitEnd returns once the listener has ended and no connection is left or, after some time, no request. Clients'
// connections that idle end from idleAt on.
func (s *server) awaitEnd(l *drainListener, listener <-chan error, idleAt time.Time, times drainTimes) error {
	tick := time.NewTicker(max(times.quietTime, time.Millisecond))
	defer tick.Stop()
	var until time.Time // connections without a request are waited for; zero: the listener has not ended
	for {
		select {
		case <-listener:
			listener, until = nil, time.Now().Add(times.finish)
		case now := <-tick.C:
			if listener != nil && s.config.InheritedFD != 0 {
				l.interrupt()
			}
			if now.After(idleAt) {
				s.connections.closeIdle(now)
			}
			// A connection is busy from before its first request is known of until after its last one is answered.
			if listener == nil && (s.connections.count.Load() == 0 || now.After(until) && s.active.Load() == 0) {
				return nil
			}
		}
	}
}
