package link

import (
	"errors"
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// Near is the loopback address by which the i-th near end, from 0, reaches any far end. Each near end has its own, so a far end
// knows the caller from the address that was called. i must be below 64,000 (256 blocks of 250 addresses).
func Near(i int) netip.Addr { return netip.AddrFrom4([4]byte{127, 1, byte(i / 250), byte(i%250 + 1)}) }

// NearIndex is the inverse of Near; it is negative for other addresses.
func NearIndex(address netip.Addr) int {
	b := address.Unmap().As4()
	if b[0] != 127 || b[1] != 1 || b[3] == 0 || b[3] > 250 {
		return -1
	}
	return int(b[2])*250 + int(b[3]) - 1
}

// PortReservation is an address and port that the kernel gives to no other process until Close, whether its owner listens there or not:
// a call to a process that has ended is refused and never reaches another one with the same port.
type PortReservation struct {
	socket int
	Addr   netip.AddrPort
}

// Reserve reserves a free port of an IPv4 address. The caller closes the reservation.
func Reserve(address netip.Addr) (*PortReservation, error) {
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("link: reserve: %w", err)
	}
	// With this option, which Go sets on listeners too, a socket that does not listen is no obstacle to one that does
	// (socket(7)); when the kernel looks for a free port it passes over both.
	err = unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err == nil {
		err = unix.Bind(socket, &unix.SockaddrInet4{Addr: address.As4()})
	}
	var at unix.Sockaddr
	if err == nil {
		at, err = unix.Getsockname(socket)
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("link: reserve: %w", err), unix.Close(socket))
	}
	return &PortReservation{socket, netip.AddrPortFrom(address, uint16(at.(*unix.SockaddrInet4).Port))}, nil
}

// Close releases the port.
func (p *PortReservation) Close() error { return unix.Close(p.socket) }

// Anywhere stands for all loopback addresses: a Listener accepts at every one of them.
var Anywhere = netip.IPv4Unspecified()
