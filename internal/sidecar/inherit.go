package sidecar

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

// openListener returns the socket at which clients connect: the one that the platform holds and all processes inherit, or
// one of this process's own.
func openListener(c *Config) (*net.TCPListener, error) {
	if c.InheritedFD != 0 {
		return inherit(c.InheritedFD)
	}
	return listenTCP(c.Listen)
}

func listenTCP(at string) (*net.TCPListener, error) {
	address, err := net.ResolveTCPAddr("tcp", at)
	if err != nil {
		return nil, err
	}
	return net.ListenTCP("tcp", address)
}

// inherit takes over a listening socket by its descriptor.
func inherit(fd int) (*net.TCPListener, error) {
	// Danger: Go takes any TCP socket for a listener, and fails only when it accepts.
	if on, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil || on == 0 {
		return nil, fmt.Errorf("PROXY_FD: descriptor %d: %w", fd, errors.Join(err, errors.New("no listening socket")))
	}
	f := os.NewFile(uintptr(fd), "inherited")
	defer f.Close() // the listener has a descriptor of its own
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("PROXY_FD: %w", err)
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		_ = l.Close()
		return nil, fmt.Errorf("PROXY_FD: descriptor %d is a socket of %s", fd, l.Addr().Network())
	}
	return tcp, nil
}
