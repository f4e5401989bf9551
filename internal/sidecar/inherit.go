package sidecar

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

// errNotListening means that an inherited descriptor is not a listening socket.
var errNotListening = errors.New("not a listening socket")

// openListener returns the socket to which clients connect: the one that the platform holds and all
// processes inherit, or one of this process's own.
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

// inherit returns the listener for an inherited descriptor.
func inherit(descriptor int) (*net.TCPListener, error) {
	// Go would accept any TCP socket as a listener, and fail only at the first Accept.
	if on, err := syscall.GetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil || on == 0 {
		return nil, fmt.Errorf("PROXY_FD: descriptor %d: %w", descriptor, errors.Join(err, errNotListening))
	}
	file := os.NewFile(uintptr(descriptor), "inherited")
	defer func() { _ = file.Close() }() // net.FileListener duplicates the descriptor
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("PROXY_FD: %w", err)
	}
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		_ = listener.Close()
		return nil, fmt.Errorf("PROXY_FD: descriptor %d is a %s socket, not a TCP one", descriptor, listener.Addr().Network())
	}
	return tcp, nil
}
