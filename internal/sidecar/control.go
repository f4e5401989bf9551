package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	maxCallers      = 16              // of control at once
	maxCallBytes    = 512             // bytes of a call's line
	callTimeout     = 3 * time.Second // a call must be there after it connected
	answerTimeout   = time.Second     // and an operator waits for the answer
	maxSurplusBytes = 64 << 10        // bytes of a line that is too long that are read, so that its answer arrives
)

// control answers operators: one line to a connection, one answer to a line.
//
// Callers that connect and say nothing could shut out the one who has something to say. So there are few places, and whoever has
// had one longest gives it up to the next.
type control struct {
	log        *slog.Logger
	do         func(call []string) string // answers the words of a line
	maxCallers int
	timeout    time.Duration

	mu       sync.Mutex
	callers  []net.Conn // in the order of their coming
	handlers sync.WaitGroup
}

func newControl(log *slog.Logger, do func([]string) string) *control {
	return &control{log: log, do: do, maxCallers: maxCallers, timeout: callTimeout}
}

// serve answers at l until ctx is done, and returns once no caller is left.
func (c *control) serve(ctx context.Context, l net.Listener) {
	defer c.handlers.Wait()
	defer c.evict(0)
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		switch {
		case err == nil:
		case errors.Is(err, net.ErrClosed):
			return
		default: // as when descriptors are short: that passes
			c.log.Warn("control", "err", err)
			select {
			case <-time.After(minBackoff):
				continue
			case <-ctx.Done():
				return
			}
		}
		c.evict(c.maxCallers - 1)
		c.mu.Lock()
		c.callers = append(c.callers, conn)
		c.mu.Unlock()
		c.handlers.Add(1)
		go func() {
			defer c.handlers.Done()
			defer c.removeCaller(conn)
			defer func() { _ = conn.Close() }()
			c.answer(conn)
		}()
	}
}

// evict ends the callers that came first, until no more than some are left.
func (c *control) evict(most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.callers) > most {
		_ = c.callers[0].Close()
		c.callers = c.callers[1:]
	}
}

// removeCaller takes a caller off the list.
func (c *control) removeCaller(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callers = slices.DeleteFunc(c.callers, func(other net.Conn) bool { return other == conn })
}

// answer reads a caller's line and answers it.
func (c *control) answer(conn net.Conn) {
	if conn.SetDeadline(time.Now().Add(c.timeout)) != nil {
		return
	}
	line, err := bufio.NewReaderSize(io.LimitReader(conn, maxCallBytes+1), maxCallBytes+1).ReadString('\n')
	text := "fail the line has no end\n"
	switch {
	case len(line) > maxCallBytes:
		text = fmt.Sprintf("fail the line is longer than %d bytes\n", maxCallBytes)
	case err == nil:
		text = c.do(strings.Fields(line))
	}
	if conn.SetDeadline(time.Now().Add(answerTimeout)) != nil {
		return
	}
	_, _ = io.WriteString(conn, text) // a caller that is gone needs no answer
	// Closing with something unread resets the connection, and the answer may be lost with it.
	if tcp, ok := conn.(*net.TCPConn); ok && len(line) > maxCallBytes && tcp.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(conn, maxSurplusBytes))
	}
}

// handleCall does what the words of an operator's line say, and returns the answer with its line's end.
func (s *server) handleCall(call []string) string {
	if len(call) == 0 {
		return "fail the line is empty\n"
	}
	name := call[0]
	operation, known := operations[name]
	switch want := operation.words; {
	case !known:
		return fmt.Sprintf("fail %.32q is not known\n", name)
	case len(call)-1 != want && want == 0:
		return fmt.Sprintf("fail %s stands alone\n", name)
	case len(call)-1 != want:
		return fmt.Sprintf("fail %s takes the id of one server\n", name)
	}
	return operation.do(s, call)
}

// operations are the calls that operators may make, with the number of words behind each.
var operations = map[string]struct {
	words int
	do    func(*server, []string) string
}{
	"PING":     {0, (*server).ping},
	"INFO":     {0, (*server).info},
	"LAMEDUCK": {0, (*server).lameduck},
	"REJOIN":   {0, (*server).rejoin},
	"DETACH":   {1, func(s *server, call []string) string { return s.setOutOfService(call[1], true) }},
	"ATTACH":   {1, func(s *server, call []string) string { return s.setOutOfService(call[1], false) }},
}

// ping answers whether this process is ready to serve.
func (s *server) ping([]string) string {
	if err := s.notReady(); err != nil {
		return fmt.Sprintf("fail %v\n", err)
	}
	return "ok ready\n"
}

var (
	errNoServers    = errors.New("no servers are known yet")
	errDraining     = errors.New("draining until REJOIN")
	errShuttingDown = errors.New("this process is leaving")
)

// notReady says why no new connections are welcome, if so.
func (s *server) notReady() error {
	select {
	case <-s.host.ready:
	default:
		return errNoServers
	}
	switch {
	case s.shuttingDown.Load():
		return errShuttingDown
	case s.drainingSince.Load() != 0:
		return errDraining
	}
	return nil
}

// setOutOfService takes a server out of service or returns it. Both may be repeated, and change nothing then.
func (s *server) setOutOfService(id string, out bool) string {
	known := false
	if !s.host.ask(func() { known = s.host.balancer.Knows(id) }) {
		return "fail shutting down\n"
	}
	if !known {
		return fmt.Sprintf("fail no server %.64q is known\n", id)
	}
	s.host.log.Info("by hand", "id", id, "out", out)
	kept := s.host.handover.set(id, out)
	if !s.host.ask(s.host.applyOutOfService) {
		return "fail shutting down\n"
	}
	switch {
	case kept != nil:
		s.host.log.Warn("handover", "err", kept)
		return fmt.Sprintf("fail done in this process, but the next will not know: %.200s\n", strings.ReplaceAll(kept.Error(), "\n", "; "))
	case out:
		return fmt.Sprintf("ok %s is out\n", id)
	}
	return fmt.Sprintf("ok %s is in\n", id)
}
