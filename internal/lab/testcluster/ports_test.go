package testcluster

import (
	"context"
	"net"
	"os/exec"
	"strconv"
	"sync"
	"testing"
)

// TestFreePortsWhileProcessesStart guards against ports that are found free and still in use: a process that is being started has copies of the
// sockets by which they were found.
func TestFreePortsWhileProcessesStart(t *testing.T) {
	program, err := exec.LookPath("true")
	if err != nil {
		t.Skip("there is no program to start")
	}
	// The first start of a process checks what the kernel can do, by another process that no lock excludes.
	if err := exec.CommandContext(t.Context(), program).Run(); err != nil {
		t.Fatal(err)
	}
	const rounds, starters = 150, 3
	ctx, cancel := context.WithCancel(t.Context())
	var starting sync.WaitGroup
	for range starters {
		starting.Go(func() {
			for ctx.Err() == nil {
				_ = exec.CommandContext(ctx, program).Run() // It fails when ctx ends.
			}
		})
	}
	machines := []Machine{{IP: "127.0.9.1"}, {IP: "127.0.9.2"}, {IP: "127.0.9.3"}}
	for range rounds {
		listenAtFreePorts(t, machines)
	}
	cancel()
	starting.Wait()
}

// listenAtFreePorts listens at all ports that FreePorts finds, as relays and processes do, and closes them.
func listenAtFreePorts(t *testing.T, machines []Machine) {
	t.Helper()
	ports, err := FreePorts(machines)
	if err != nil {
		t.Fatal(err)
	}
	for _, machine := range machines {
		for port := ports.First; port < ports.First+totalPorts; port++ {
			listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", net.JoinHostPort(machine.IP, strconv.Itoa(port)))
			if err != nil {
				t.Errorf("a port that was found free: %v", err)
				continue
			}
			_ = listener.Close()
		}
	}
}
