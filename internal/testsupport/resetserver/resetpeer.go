// Package resetpeer is a stand-in HTTP server for tests: it reads each call whole, and resets the connection in place of answering
// every second one on it. So a caller's transport meets reused connections that break after a call was written.
package resetserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
)

// answer is an empty protobuf message, on a connection that stays open.
const answer = "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\nContent-Length: 0\r\n\r\n"

// Peer is the server. Close ends it.
type Peer struct {
	listener net.Listener
	serving  sync.WaitGroup
	took     func(body []byte)
}

// Listen starts a peer on a free port of 127.0.0.1. It calls took with the body of each call before it answers or resets; calls of
// several connections may come at once.
func Listen(took func(body []byte)) (*Peer, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Peer{listener: l, took: took}
	p.serving.Go(p.accept)
	return p, nil
}

// Addr is where the peer listens.
func (p *Peer) Addr() *net.TCPAddr { return p.listener.Addr().(*net.TCPAddr) }

// Close takes no more connections, and waits until the callers have closed theirs.
func (p *Peer) Close() {
	_ = p.listener.Close()
	p.serving.Wait()
}

func (p *Peer) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.serving.Go(func() { p.serve(c) })
	}
}

func (p *Peer) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for n := 1; ; n++ {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		p.took(body)
		if n%2 == 0 {
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}
