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
	maxCallers      = 16              // connections of operators at the same time
	maxCallBytes    = 512             // length of a command line
	callTimeout     = 3 * time.Second // for a command to arrive after its connection was accepted
	answerTimeout   = time.Second     // for writing the answer
	maxSurplusBytes = 64 << 10        // bytes of an overlong line that are read after the answer, so that the answer arrives
)

// control answers operators' commands: one line and one answer per connection.
//
// Callers that connect and send nothing could lock out one that has a command. So the number of
// connections is limited, and the oldest one is closed when a new one arrives.
type control struct {
	log        *slog.Logger
	do         func(call []string) string // executes a command, split into words, and returns the answer
	maxCallers int
	timeout    time.Duration

	mu       sync.Mutex
	callers  []net.Conn // in order of arrival
	handlers sync.WaitGroup
}

func newControl(log *slog.Logger, do func([]string) string) *control {
	return &control{log: log, do: do, maxCallers: maxCallers, timeout: callTimeout}
}

// serve answers commands at l until ctx is done, and returns once no connection is left.
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
		default: // for example out of descriptors, which is temporary
			c.log.Warn("control: accept failed", "err", err)
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

// evict closes the oldest connections until at most most are left.
func (c *control) evict(limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.callers) > limit {
		_ = c.callers[0].Close()
		c.callers = c.callers[1:]
	}
}

// removeCaller removes a connection from the list.
func (c *control) removeCaller(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callers = slices.DeleteFunc(c.callers, func(other net.Conn) bool { return other == conn })
}

// answer reads a command and answers it.
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
	_, _ = io.WriteString(conn, text) // a caller that has disconnected needs no answer
	// Closing a connection with unread data resets it, and the answer may be lost.
	if tcp, ok := conn.(*net.TCPConn); ok && len(line) > maxCallBytes && tcp.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(conn, maxSurplusBytes))
	}
}

// handleCall executes a command, split into words, and returns the answer including its line feed.
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

// operations maps the commands that operators may send to the number of arguments and the handler.
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

// notReady returns why this process should get no new connections, or nil.
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

// setOutOfService takes a server out of service or puts it back. Both are idempotent.
func (s *server) setOutOfService(id string, out bool) string {
	known := false
	if !s.host.ask(func() { known = s.host.balancer.Knows(id) }) {
		return "fail shutting down\n"
	}
	if !known {
		return fmt.Sprintf("fail no server %.64q is known\n", id)
	}
	s.host.log.Info("by hand", "id", id, "out", out)
	storeErr := s.host.handover.set(id, out)
	if !s.host.ask(s.host.applyOutOfService) {
		return "fail shutting down\n"
	}
	switch {
	case storeErr != nil:
		s.host.log.Warn("handover: cannot write the file", "err", storeErr)
		return fmt.Sprintf("fail done in this process, but the next will not know: %.200s\n", strings.ReplaceAll(storeErr.Error(), "\n", "; "))
	case out:
		return fmt.Sprintf("ok %s is out\n", id)
	}
	return fmt.Sprintf("ok %s is in\n", id)
}
