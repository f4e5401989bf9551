// Package standin is the processes that stand in for what the program works with: servers, the platform's list of them,
// and a plain sidecar to compare with. Each is one child process of a lab, which it obeys over package ctl.
package standin

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/link"
	"gradeusher.example/gradeusher/internal/lab/model"
	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// Host runs stand-in servers until the orders end. groups is the number of groups of sidecars, each with listeners of its
// own; what is seen goes to the file records. keepers, if any, are where the servers register, with a lease.
func Host(orders io.Reader, news io.Writer, groups int, records string, registryNodes []string, lease time.Duration) error {
	recorder, err := ctl.NewRecords(records)
	if err != nil {
		return err
	}
	servers := &host{out: ctl.NewOut(news), groups: max(1, groups), records: recorder, servers: map[string]*machine{}, removed: map[string]*machine{}}
	if len(registryNodes) > 0 {
		if servers.registrar, err = newRegistrar(registryNodes, lease); err != nil {
			return errors.Join(err, recorder.Close())
		}
		defer servers.registrar.close()
	}
	servers.out.Say(ctl.News{Kind: "ready", At: clock.Now()})
	// Links are set side by side, since to cut off calls takes milliseconds; whatever else comes waits for them.
	var links sync.WaitGroup
	err = ctl.Lines(orders, func(o ctl.Order) error {
		do := func() { acknowledgeOrder(o, servers.out, servers.handleOrder) }
		if o.Do == "link" {
			links.Add(1)
			go func() {
				defer links.Done()
				do()
			}()
			return nil
		}
		links.Wait()
		do()
		return nil
	})
	links.Wait()
	for _, m := range servers.servers {
		m.process.crash()
		m.process.tasks.Wait()
		m.releasePorts()
	}
	for _, m := range servers.removed {
		m.releasePorts()
	}
	return errors.Join(err, recorder.Close())
}

// host is the servers of one process. Orders come one at a time.
type host struct {
	out           *ctl.Out
	groups        int
	records       *ctl.Records
	servers       map[string]*machine
	removed       map[string]*machine // that were removed
	wallClockSkew time.Duration       // of its wall clock

	registrar *registrar // nil: servers register nowhere
}

// machine is where one server process after the other runs.
type machine struct {
	process           *server
	net               *network
	reservedPorts     []*link.Place // kept as long as the experiment lasts, so that nobody gets its ports
	partitionedGroups sync.Map      // groups whose calls do not come up
}

func (h *host) handleOrder(o ctl.Order, n *ctl.News) error {
	if o.Do == "clock" {
		h.wallClockSkew += time.Duration(o.By)
		return nil
	}
	if o.Do == "add" {
		if o.Spec == nil || h.servers[o.Spec.UID] != nil {
			return errors.New("add: no such server can be added")
		}
		m := &machine{net: newNetwork()}
		ports := make([]int, h.groups)
		for i := range ports {
			place, err := link.Reserve(link.Anywhere)
			if err != nil {
				m.releasePorts()
				return err
			}
			m.reservedPorts = append(m.reservedPorts, place)
			ports[i] = int(place.Addr.Port())
		}
		if err := h.start(m, *o.Spec, o.Cold, ports); err != nil {
			m.releasePorts()
			return err
		}
		h.servers[o.Spec.UID] = m
		n.UID, n.Ports = o.Spec.UID, m.process.ports
		if o.Cold {
			n.BootMS = h.bootMS()
		}
		h.register(m, n.BootMS)
		return nil
	}
	m := h.servers[o.UID]
	if m == nil && h.removed[o.UID] != nil && o.Do != "revive" {
		return nil // a fault that lasts longer than the machine
	}
	if m == nil {
		return fmt.Errorf("%s: no server %q", o.Do, o.UID)
	}
	switch o.Do {
	case "drain":
		h.registrar.updateDesired(o.UID, func(w *desiredEntry) { w.state = list.Draining })
		m.process.updateModel(func(now int64) { m.process.model.Drain(now) })
	case "die":
		h.registrar.updateDesired(o.UID, func(w *desiredEntry) { w.crashed = true })
		m.process.crash()
	case "silent":
		h.registrar.updateDesired(o.UID, func(w *desiredEntry) { w.isolated = o.On })
	case "remove":
		h.registrar.updateDesired(o.UID, func(w *desiredEntry) { w.state = list.Deleted })
		m.process.crash()
		m.process.tasks.Wait()
		delete(h.servers, o.UID)
		h.removed[o.UID] = m
	case "revive": // a new process, where the old one was
		m.process.crash()
		m.process.tasks.Wait()
		if err := h.start(m, m.process.spec, true, m.process.ports); err != nil {
			return err
		}
		n.BootMS, n.Ports = h.bootMS(), m.process.ports
		h.register(m, n.BootMS)
	case "trouble":
		if o.Trouble == nil {
			return errors.New("trouble: none given")
		}
		m.process.updateModel(func(now int64) { m.process.model.Set(now, *o.Trouble) })
	case "link":
		m.net.apply(o)
		if o.Cut != nil {
			return m.setPartitioned(o.Group, *o.Cut)
		}
	case "reset", "forget":
		m.net.apply(o)
	default:
		return fmt.Errorf("unknown order %q", o.Do)
	}
	return nil
}

// register has a machine's process be on the keepers' list, where there are keepers.
func (h *host) register(m *machine, bootMS int64) {
	if h.registrar != nil {
		h.registrar.register(&m.process.spec, m.process.ports[0], bootMS)
	}
}

func (h *host) bootMS() int64 { return time.Now().Add(h.wallClockSkew).UnixMilli() }

func (h *host) start(m *machine, spec model.Spec, cold bool, ports []int) error {
	p, err := startServer(spec, cold, ports, m.net, h.records, func(p *server) {
		p.crash()
		h.registrar.updateDesired(spec.UID, func(w *desiredEntry) { w.crashed = true })
		h.out.Say(ctl.News{Kind: "fell", UID: spec.UID, At: clock.Now()})
	})
	if err != nil {
		return err
	}
	m.process = p
	m.partitionedGroups.Range(func(group, _ any) bool {
		err = errors.Join(err, p.listeners[group.(int)].Cut(true))
		return true
	})
	return err
}

// releasePorts gives the machine's ports up.
func (m *machine) releasePorts() {
	for _, place := range m.reservedPorts {
		place.Close()
	}
}

func (m *machine) setPartitioned(group int, cut bool) error {
	if group < 0 || group >= len(m.process.listeners) {
		return fmt.Errorf("link: no group %d", group)
	}
	if cut {
		m.partitionedGroups.Store(group, true)
	} else {
		m.partitionedGroups.Delete(group)
	}
	if err := m.process.listeners[group].Cut(cut); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil // where no process is, the next one on the machine is cut off
}
