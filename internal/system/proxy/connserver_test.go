package proxy

import (
	"net"
	"sync"
)

// connServer accepts connections and serves each in its own goroutine.
type connServer struct {
	listener net.Listener
	serving  sync.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

// start accepts connections until stop is called. It passes each one to serve, which need not close it.
func (s *connServer) start(serve func(conn net.Conn)) {
	s.serving.Go(func() {
		for {
			conn, err := s.listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, conn)
			s.mu.Unlock()
			s.serving.Go(func() {
				defer func() { _ = conn.Close() }()
				serve(conn)
			})
		}
	})
}

// stop closes the listener and all connections, and waits for the goroutines to end.
func (s *connServer) stop() {
	_ = s.listener.Close()
	s.mu.Lock()
	for _, conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.serving.Wait()
}

func (s *connServer) address() string { return s.listener.Addr().String() }
