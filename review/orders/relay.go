package main

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// relay is a link: it passes bytes and ends of connections on in order, each after the delay that held when it came.
type relay struct {
	listener net.Listener
	target   string
	delay    atomic.Int64
}

func startRelay(ctx context.Context, address, target string) (*relay, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	link := &relay{listener: listener, target: target}
	go link.accept(ctx)
	return link, nil
}

func (l *relay) address() string { return l.listener.Addr().String() }

func (l *relay) setDelay(delay time.Duration) { l.delay.Store(int64(delay)) }

func (l *relay) close() { _ = l.listener.Close() }

func (l *relay) accept(ctx context.Context) {
	for {
		from, err := l.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			sleep(ctx, time.Duration(l.delay.Load()))
			to, err := new(net.Dialer).DialContext(ctx, "tcp4", l.target)
			if err != nil {
				_ = from.Close()
				return
			}
			go l.pass(from, to)
			go l.pass(to, from)
		}()
	}
}

// piece is what came at a time; no bytes stand for the end.
type piece struct {
	bytes []byte
	due   time.Time
}

// pass passes one direction of a connection on.
func (l *relay) pass(from, to net.Conn) {
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		for {
			buffer := make([]byte, 16<<10)
			count, err := from.Read(buffer)
			pieces <- piece{buffer[:count], time.Now().Add(time.Duration(l.delay.Load()))}
			if err != nil {
				return
			}
		}
	}()
	for next := range pieces {
		time.Sleep(time.Until(next.due))
		if len(next.bytes) > 0 {
			_, _ = to.Write(next.bytes)
		}
	}
	_ = to.Close()
}
