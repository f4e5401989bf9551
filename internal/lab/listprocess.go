package lab

import (
	"errors"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/link"
)

// listProcess is where the processes of the platform's list run, one after the other, at one port.
type listProcess struct {
	fleet       *Fleet
	groups      string // the group of each sidecar, with commas between them
	reservation *link.PortReservation

	mu      sync.Mutex
	child   *child // the latest process
	started int    // number of processes
}

// current is the latest process; nil where there is no list.
func (l *listProcess) current() *child {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.child
}

// start starts a process of the list, and sends it all that the ones before were sent.
func (l *listProcess) start() error {
	fleet := l.fleet
	l.mu.Lock()
	defer l.mu.Unlock()
	started, err := fleet.startStandIn("list", []string{"list", "--groups", l.groups, "--port", strconv.Itoa(int(l.reservation.Addr.Port())),
		"--records", fleet.records(recordsOfListUpdates, l.started)})
	if err != nil {
		return err
	}
	l.started++
	l.child = started
	fleet.mu.Lock()
	entries := slices.Clone(fleet.listed)
	fleet.mu.Unlock()
	for _, entry := range entries {
		if _, err := started.order(ctl.Order{Do: ctl.CommandUpdateList, Entry: &entry}); err != nil {
			return err
		}
	}
	return nil
}

// addEntry has the list apply an entry. Where its process has ended, the next one applies it.
func (l *listProcess) addEntry(entry ctl.Entry) error {
	l.fleet.mu.Lock()
	l.fleet.listed = append(l.fleet.listed, entry)
	l.fleet.mu.Unlock()
	process := l.current()
	select {
	case <-process.Ended():
		return nil
	default:
	}
	_, err := process.order(ctl.Order{Do: ctl.CommandUpdateList, Entry: &entry})
	if errors.Is(err, ErrProcessEnded) || errors.Is(err, syscall.EPIPE) {
		return nil
	}
	return err
}

// startList starts the platform's list with the servers of the start.
func (f *Fleet) startList() (err error) {
	groups := make([]string, len(f.plan.Sidecars))
	for i, s := range f.plan.Sidecars {
		groups[i] = strconv.Itoa(s.Group)
	}
	f.list = &listProcess{fleet: f, groups: strings.Join(groups, ",")}
	if f.list.reservation, err = link.Reserve(link.Anywhere); err != nil {
		return err
	}
	if err := f.list.start(); err != nil {
		return err
	}
	for _, entry := range f.known {
		if err := f.list.addEntry(entry); err != nil {
			return err
		}
	}
	return nil
}

// ListAddress is where the first sidecar reaches the list, or the first registry node where the registry has it: IP address and port.
func (f *Fleet) ListAddress() string {
	if f.registry != nil {
		return f.registryAddresses(0)[0]
	}
	return f.listAddress(0)
}

// listAddress is where the sidecar of an index reaches the list: IP address and port.
func (f *Fleet) listAddress(index int) string {
	return netip.AddrPortFrom(link.Near(index), f.list.reservation.Addr.Port()).String()
}
