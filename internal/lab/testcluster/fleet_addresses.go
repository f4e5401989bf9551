package testcluster

import (
	"net"
	"strconv"
)

// address returns the address of a port of the machine.
func (m Machine) address(port int) string {
	return net.JoinHostPort(m.IP, strconv.Itoa(port))
}

// FrontAddress returns the address at which clients reach the proxy of a machine.
func (f *Fleet) FrontAddress(m Machine) string { return m.address(f.Ports.Front) }

// ControlAddress returns the address at which the operator reaches the control-plane node of a machine.
func (f *Fleet) ControlAddress(m Machine) string { return m.address(f.Ports.Control) }

// InternalAddress returns the address at which a machine's proxy serves its status and the system's own calls.
func (f *Fleet) InternalAddress(m Machine) string {
	first, _ := f.portsOf(ProxyName(m))
	return m.address(first + 1)
}

// ControlPlaneAddresses returns the control addresses of all machines, also of those with an observer.
func (f *Fleet) ControlPlaneAddresses() []string {
	var addresses []string
	for _, m := range f.Machines {
		addresses = append(addresses, f.ControlAddress(m))
	}
	return addresses
}

// ReadinessAddresses returns the addresses at which the platform asks proxies whether they are ready.
func (f *Fleet) ReadinessAddresses() []string {
	var addresses []string
	for _, m := range f.Machines {
		addresses = append(addresses, m.address(f.Ports.Readiness))
	}
	return addresses
}

// Directories returns the directory of each machine.
func (f *Fleet) Directories() []Directory {
	var directories []Directory
	for _, m := range f.Machines {
		directories = append(directories, Directory{m.address(f.Ports.Directory), m.Zone, m.Region})
	}
	return directories
}

// Zones returns the machines' zones, each with its region.
func (f *Fleet) Zones() map[string]string {
	zones := map[string]string{}
	for _, m := range f.Machines {
		zones[m.Zone] = m.Region
	}
	return zones
}

// portsOf returns the first and the last port that a process has for the system's own traffic. Where there are links, each process has
// ports of its own, so that relays can listen at the others.
func (f *Fleet) portsOf(name string) (first, last int) {
	if f.Links != nil {
		for _, e := range f.endpoints() {
			if e.name == name {
				return e.firstPort, e.firstPort + portsPerProcess - 1
			}
		}
	}
	return f.Ports.First, f.Ports.Last
}
