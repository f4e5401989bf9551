package proxy

import (
	"net"
	"sync"
)

// connServer accepts connections and serves each in a goroutine of its own.
type connServer struct {
	listener net.Listener
	serving  sync.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

// start accepts connections until stop. The serve function gets each of them and need not close it.
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

// stop ends the server and its connections, and waits for them.
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
