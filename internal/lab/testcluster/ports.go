package testcluster

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Ports are the ports of the system's processes, the same on all machines.
type Ports struct {
	First, Last                          int // range of the system's own traffic, both included
	Front, Readiness, Control, Directory int
}

const (
	systemPorts     = 16              // of the system's own traffic
	totalPorts      = systemPorts + 4 // with Front, Readiness, Control and Directory
	minPort         = 20000
	maxPort         = 32000 // below the range from which the kernel draws the ports of outgoing connections
	maxPortAttempts = 200
)

// FreePorts finds consecutive ports that are free on all machines. It does not reserve them.
func FreePorts(machines []Machine) (Ports, error) {
	for range maxPortAttempts {
		first := minPort + rand.IntN(maxPort-minPort-totalPorts)
		if portsFree(machines, first) {
			next := first + systemPorts
			return Ports{First: first, Last: next - 1, Front: next, Readiness: next + 1, Control: next + 2, Directory: next + 3}, nil
		}
	}
	return Ports{}, errors.Newf("no %d ports in a row are free on all machines from %d to %d: end other runs", totalPorts, minPort, maxPort)
}

// portsFree reports whether totalPorts ports from first on are free on all machines, for connections and for packets. The sockets by which it
// finds out are closed when it returns: a process that this one starts has copies of all sockets until it executes its program, so none is started
// meanwhile.
func portsFree(machines []Machine, first int) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	for _, m := range machines {
		for port := first; port < first+totalPorts; port++ {
			if !portFree(net.JoinHostPort(m.IP, strconv.Itoa(port))) {
				return false
			}
		}
	}
	return true
}

func portFree(address string) bool {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return false
	}
	_ = listener.Close()
	packets, err := config.ListenPacket(context.Background(), "udp4", address)
	if err != nil {
		return false
	}
	_ = packets.Close()
	return true
}
