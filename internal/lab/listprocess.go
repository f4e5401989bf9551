package lab

import (
	"errors"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/link"
)

// listProcess is the list, whose process faults may end and start.
type listProcess struct {
	fleet       *Fleet
	groups      string
	reservation *link.PortReservation

	mu      sync.Mutex
	child   *child
	started int
}

func (l *listProcess) current() *child {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.child
}

// start starts the list's process, where the one before was.
func (l *listProcess) start() error {
	fleet := l.fleet
	l.mu.Lock()
	defer l.mu.Unlock()
	c, err := fleet.startStandIn("list", []string{"list", "--groups", l.groups, "--port", strconv.Itoa(int(l.reservation.Addr.Port())),
		"--records", fleet.records(recordsOfListUpdates, l.started)})
	if err != nil {
		return err
	}
	l.started++
	l.child = c
	fleet.mu.Lock()
	told := append([]ctl.Entry(nil), fleet.listed...)
	fleet.mu.Unlock()
	for _, e := range told {
		if _, err := c.order(ctl.Order{Do: ctl.CommandUpdateList, Entry: &e}); err != nil {
			return err
		}
	}
	return nil
}

// addEntry has the list apply an entry; while its process is down, the next one applies it.
func (l *listProcess) addEntry(e ctl.Entry) error {
	l.fleet.mu.Lock()
	l.fleet.listed = append(l.fleet.listed, e)
	l.fleet.mu.Unlock()
	c := l.current()
	select {
	case <-c.Ended():
		return nil
	default:
	}
	_, err := c.order(ctl.Order{Do: ctl.CommandUpdateList, Entry: &e})
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
	for _, e := range f.known {
		if err := f.list.addEntry(e); err != nil {
			return err
		}
	}
	return nil
}

// ListAddress is where the first sidecar reaches the list.
func (f *Fleet) ListAddress() string {
	if f.registry != nil {
		return f.registryAddresses(0)[0]
	}
	return f.listAddress(0)
}

// listAddress is where the i-th sidecar reaches the list.
func (f *Fleet) listAddress(i int) string {
	return netip.AddrPortFrom(link.Near(i), f.list.reservation.Addr.Port()).String()
}
