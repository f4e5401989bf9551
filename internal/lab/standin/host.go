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
func Host(orders io.Reader, news io.Writer, groups int, records string, keepers []string, lease time.Duration) error {
	r, err := ctl.NewRecords(records)
	if err != nil {
		return err
	}
	h := &host{out: ctl.NewEventWriter(news), groups: max(1, groups), records: r, servers: map[string]*machine{}, gone: map[string]*machine{}}
	if len(keepers) > 0 {
		if h.registrar, err = newRegistrar(keepers, lease); err != nil {
			return errors.Join(err, r.Close())
		}
		defer h.registrar.close()
	}
	h.out.Send(ctl.Event{Kind: "ready", At: clock.Now()})
	// Links are set side by side, since to cut off calls takes milliseconds; whatever else comes waits for them.
	var links sync.WaitGroup
	err = ctl.Lines(orders, func(o ctl.Order) error {
		do := func() { obey(o, h.out, h.obey) }
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
	for _, m := range h.servers {
		m.process.die()
		m.process.tasks.Wait()
		m.leave()
	}
	for _, m := range h.gone {
		m.leave()
	}
	return errors.Join(err, r.Close())
}

// host is the servers of one process. Orders come one at a time.
type host struct {
	out     *ctl.EventWriter
	groups  int
	records *ctl.Records
	servers map[string]*machine
	gone    map[string]*machine // that were removed
	skew    time.Duration       // of its wall clock

	registrar *registrar // nil: servers register nowhere
}

// machine is where one server process after the other runs.
type machine struct {
	process *server
	net     *network
	places  []*link.PortReservation // kept as long as the experiment lasts, so that nobody gets its ports
	cuts    sync.Map                // groups whose calls do not come up
}

func (h *host) obey(o ctl.Order, n *ctl.Event) error {
	if o.Do == "clock" {
		h.skew += time.Duration(o.By)
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
				m.leave()
				return err
			}
			m.places = append(m.places, place)
			ports[i] = int(place.Addr.Port())
		}
		if err := h.start(m, *o.Spec, o.Cold, ports); err != nil {
			m.leave()
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
	if m == nil && h.gone[o.UID] != nil && o.Do != "revive" {
		return nil // a fault that lasts longer than the machine
	}
	if m == nil {
		return fmt.Errorf("%s: no server %q", o.Do, o.UID)
	}
	switch o.Do {
	case "drain":
		h.registrar.want(o.UID, func(w *wanted) { w.state = list.Draining })
		m.process.do(func(now int64) { m.process.model.Drain(now) })
	case "die":
		h.registrar.want(o.UID, func(w *wanted) { w.dead = true })
		m.process.die()
	case "silent":
		h.registrar.want(o.UID, func(w *wanted) { w.silent = o.On })
	case "remove":
		h.registrar.want(o.UID, func(w *wanted) { w.state = list.Deleted })
		m.process.die()
		m.process.tasks.Wait()
		delete(h.servers, o.UID)
		h.gone[o.UID] = m
	case "revive": // a new process, where the old one was
		m.process.die()
		m.process.tasks.Wait()
		if err := h.start(m, m.process.spec, true, m.process.ports); err != nil {
			return err
		}
		n.BootMS, n.Ports = h.bootMS(), m.process.ports
		h.register(m, n.BootMS)
	case "trouble":
		if o.Fault == nil {
			return errors.New("trouble: none given")
		}
		m.process.do(func(now int64) { m.process.model.SetFault(now, *o.Fault) })
	case "link":
		m.net.change(o)
		if o.Partitioned != nil {
			return m.cut(o.Group, *o.Partitioned)
		}
	case "reset", "forget":
		m.net.change(o)
	default:
		return fmt.Errorf("unknown order %q", o.Do)
	}
	return nil
}

// register has a machine's process be on the keepers' list, where there are keepers.
func (h *host) register(m *machine, bootMS int64) {
	if h.registrar != nil {
		h.registrar.up(&m.process.spec, m.process.ports[0], bootMS)
	}
}

func (h *host) bootMS() int64 { return time.Now().Add(h.skew).UnixMilli() }

func (h *host) start(m *machine, spec model.Spec, cold bool, ports []int) error {
	p, err := startServer(spec, cold, ports, m.net, h.records, func(p *server) {
		p.die()
		h.registrar.want(spec.UID, func(w *wanted) { w.dead = true })
		h.out.Send(ctl.Event{Kind: "fell", UID: spec.UID, At: clock.Now()})
	})
	if err != nil {
		return err
	}
	m.process = p
	m.cuts.Range(func(group, _ any) bool {
		err = errors.Join(err, p.listeners[group.(int)].SetPartitioned(true))
		return true
	})
	return err
}

// leave gives the machine's ports up.
func (m *machine) leave() {
	for _, place := range m.places {
		place.Close()
	}
}

func (m *machine) cut(group int, cut bool) error {
	if group < 0 || group >= len(m.process.listeners) {
		return fmt.Errorf("link: no group %d", group)
	}
	if cut {
		m.cuts.Store(group, true)
	} else {
		m.cuts.Delete(group)
	}
	if err := m.process.listeners[group].SetPartitioned(cut); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil // where no process is, the next one on the machine is cut off
}
