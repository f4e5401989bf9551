package testcluster

import (
	"net"
	"strconv"
)

func (f *Fleet) address(m Machine, port int) string {
	return net.JoinHostPort(m.IP, strconv.Itoa(port))
}

// Front returns the address at which clients reach the proxy of a machine.
func (f *Fleet) Front(m Machine) string { return f.address(m, f.Ports.Front) }

// Control returns the address at which the operator reaches the control-plane node of a machine.
func (f *Fleet) Control(m Machine) string { return f.address(m, f.Ports.Control) }

// Internal returns the address at which a machine's proxy serves its status and the system's own calls.
func (f *Fleet) Internal(m Machine) string {
	first, _ := f.portsOf(ProxyName(m))
	return f.address(m, first+1)
}

// ControlPlaneAddresses returns the control addresses of all machines, also of those with an observer.
func (f *Fleet) ControlPlaneAddresses() []string {
	var addresses []string
	for _, m := range f.Machines {
		addresses = append(addresses, f.Control(m))
	}
	return addresses
}

// Readiness returns the addresses at which the platform asks proxies whether they are ready.
func (f *Fleet) Readiness() []string {
	var addresses []string
	for _, m := range f.Machines {
		addresses = append(addresses, f.address(m, f.Ports.Readiness))
	}
	return addresses
}

// Directories returns the directory of each machine.
func (f *Fleet) Directories() []Directory {
	var directories []Directory
	for _, m := range f.Machines {
		directories = append(directories, Directory{f.address(m, f.Ports.Directory), m.Zone, m.Region})
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
