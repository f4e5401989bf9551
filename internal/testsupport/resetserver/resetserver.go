// Package resetserver is an HTTP server for tests of clients' retries: on each connection it resets every second request in place of
// answering it, after it has read the request completely. A client's transport so meets reused connections that break after a request was
// written, which http.Transport retries by itself where the request looks idempotent.
package resetserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// response is an empty protobuf message, on a connection that stays open.
const response = "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\nContent-Length: 0\r\n\r\n"

// Server is a running server. Close ends it.
type Server struct {
	listener  *net.TCPListener
	serving   sync.WaitGroup
	onRequest func(body []byte)
}

// Listen starts a server on a free port of 127.0.0.1. It calls onRequest with the body of each request before it answers or resets the
// connection; for requests of several connections it may do so at the same time.
func Listen(onRequest func(body []byte)) (*Server, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return nil, errors.Newf("resetserver: %T is not a TCP listener", listener)
	}
	server := &Server{listener: tcp, onRequest: onRequest}
	server.serving.Go(server.accept)
	return server, nil
}

// Addr returns the address of the server.
func (s *Server) Addr() *net.TCPAddr {
	address, _ := s.listener.Addr().(*net.TCPAddr)
	return address
}

// Close closes the listener and waits until the clients have closed their connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.serving.Wait()
}

// accept serves connections until the listener is closed.
func (s *Server) accept() {
	for {
		conn, err := s.listener.AcceptTCP()
		if err != nil {
			return
		}
		s.serving.Go(func() { s.serve(conn) })
	}
}

// serve answers the odd requests of a connection, and resets it at the first even one.
func (s *Server) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for number := 1; ; number++ {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		s.onRequest(body)
		if number%2 == 0 {
			_ = conn.SetLinger(0)
			return
		}
		if _, err := io.WriteString(conn, response); err != nil {
			return
		}
	}
}
