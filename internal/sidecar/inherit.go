package sidecar

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

// errNotListening says that an inherited descriptor is of another kind of socket.
var errNotListening = errors.New("no listening socket")

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
func inherit(descriptor int) (*net.TCPListener, error) {
	// Go takes any TCP socket for a listener, and fails only when it accepts.
	if on, err := syscall.GetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil || on == 0 {
		return nil, fmt.Errorf("PROXY_FD: descriptor %d: %w", descriptor, errors.Join(err, errNotListening))
	}
	file := os.NewFile(uintptr(descriptor), "inherited")
	defer func() { _ = file.Close() }() // the listener has a descriptor of its own
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("PROXY_FD: %w", err)
	}
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		_ = listener.Close()
		return nil, fmt.Errorf("PROXY_FD: descriptor %d is a socket of %s", descriptor, listener.Addr().Network())
	}
	return tcp, nil
}
