// Package standin holds the processes that stand in for what the program works with in an experiment. The lab cannot run
// the platform's model servers, their list and a fleet's network, yet its checkers need all of them with faults on demand.
// So each stand-in is a child process that takes orders over package ctl, applies each before it acknowledges it, and writes what
// it saw to record files, which the checkers read after the run.
//
// The terms: a near end is a process that opens connections, a sidecar or a client, known by the loopback address it calls
// (link.Near). A far end is what it calls: a model server, the platform's list, a registry node, or another sidecar. Between
// a near and a far end stands a link with faults. The stand-ins are:
//
//   - Host: model servers, driven by package model;
//   - List: the platform's list of servers in discovery's form;
//   - Relay and Peers: the faulty network in front of registry nodes and between sidecars;
//   - Watchers: many subscribers of the registry in one process;
//   - Plain, PlainRegistry and LyingMember: a sidecar, a registry node and a member with a flaw each, which show that the
//     checkers find what they are there to find.
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
// own, at least one; what the servers see goes to the file records. registryNodes, if any, are the addresses where the servers
// register, with a lease. Host returns the first error of reading orders or of writing records.
func Host(orders io.Reader, news io.Writer, groups int, records string, registryNodes []string, lease time.Duration) error {
	recorder, err := ctl.NewRecords(records)
	if err != nil {
		return err
	}
	servers := &host{out: ctl.NewEventWriter(news), groups: max(1, groups), records: recorder, servers: map[string]*machine{},
		removed: map[string]*machine{}}
	if len(registryNodes) > 0 {
		if servers.registrar, err = newRegistrar(registryNodes, lease); err != nil {
			return errors.Join(err, recorder.Close())
		}
		defer servers.registrar.close()
	}
	servers.out.Send(ctl.Event{Kind: ctl.EventReady, At: clock.Now()})
	err = servers.run(orders)
	servers.close()
	return errors.Join(err, recorder.Close())
}

// host is the servers of one process. Orders other than those of links come one at a time.
type host struct {
	out           *ctl.EventWriter
	groups        int // of sidecars, each with a listener at every server
	records       *ctl.Records
	servers       map[string]*machine // by UID
	removed       map[string]*machine // those that were removed, by UID; their ports stay reserved
	wallClockSkew time.Duration       // of the servers' machines

	registrar *registrar // nil: servers register nowhere
}

// machine is where one server process after the other runs.
type machine struct {
	process           *server
	net               *network
	reservedPorts     []*link.PortReservation // as long as the experiment lasts, so that nobody else gets them
	partitionedGroups sync.Map                // the keys are the groups whose calls do not arrive
}

// run applies orders until they end. Link orders are applied concurrently, since partitioning takes milliseconds; every other
// order waits for them.
func (h *host) run(orders io.Reader) error {
	var links sync.WaitGroup
	defer links.Wait()
	return ctl.Lines(orders, func(order ctl.Order) error {
		if order.Do == ctl.CommandLink {
			links.Add(1)
			go func() {
				defer links.Done()
				acknowledgeOrder(order, h.out, h.handleOrder)
			}()
			return nil
		}
		links.Wait()
		acknowledgeOrder(order, h.out, h.handleOrder)
		return nil
	})
}

// close ends every process and releases every machine's ports.
func (h *host) close() {
	for _, m := range h.servers {
		m.stop()
		m.releasePorts()
	}
	for _, m := range h.removed {
		m.releasePorts()
	}
}

// handleOrder applies an order of the lab (orderHandler). A fault may last longer than its machine, so orders to removed ones do nothing.
func (h *host) handleOrder(order ctl.Order, event *ctl.Event) error {
	switch order.Do {
	case ctl.CommandClock:
		h.wallClockSkew += time.Duration(order.By)
		return nil
	case ctl.CommandAdd:
		return h.add(order, event)
	}
	target := h.servers[order.UID]
	switch {
	case target != nil:
	case h.removed[order.UID] != nil && order.Do != ctl.CommandRevive:
		return nil
	default:
		return fmt.Errorf("%s: no server %q", order.Do, order.UID)
	}
	switch order.Do {
	case ctl.CommandDrain, ctl.CommandDie, ctl.CommandIsolate, ctl.CommandRemove:
		h.changeState(target, order)
		return nil
	case ctl.CommandRevive:
		return h.revive(target, event)
	case ctl.CommandFault:
		return target.injectFault(order)
	case ctl.CommandLink, ctl.CommandReset, ctl.CommandForget:
		return target.changeLinks(order)
	}
	return unknownCommandError(order.Do)
}

// add starts a server on a new machine with ports of its own.
func (h *host) add(order ctl.Order, event *ctl.Event) error {
	if order.Spec == nil || h.servers[order.Spec.UID] != nil {
		return errors.New("add: the order names no server, or one that runs already")
	}
	added := &machine{net: newNetwork()}
	ports, err := added.reservePorts(h.groups)
	if err == nil {
		err = h.start(added, *order.Spec, order.Cold, ports)
	}
	if err != nil {
		added.releasePorts()
		return err
	}
	h.servers[order.Spec.UID] = added
	event.UID, event.Ports = order.Spec.UID, added.process.ports
	if order.Cold {
		event.BootMS = h.bootMS()
	}
	h.register(added, event.BootMS)
	return nil
}

// revive starts a new process where the old one was, on the same ports.
func (h *host) revive(m *machine, event *ctl.Event) error {
	m.stop()
	if err := h.start(m, m.process.spec, true, m.process.ports); err != nil {
		return err
	}
	event.BootMS, event.Ports = h.bootMS(), m.process.ports
	h.register(m, event.BootMS)
	return nil
}

// changeState drains, crashes, isolates or removes a server. The registry's entry changes first, as a server's agent would
// have it.
func (h *host) changeState(target *machine, order ctl.Order) {
	switch order.Do {
	case ctl.CommandDrain:
		h.registrar.updateDesired(order.UID, func(e *desiredEntry) { e.state = list.Draining })
		target.process.updateModel(func(now int64) { target.process.model.Drain(now) })
	case ctl.CommandDie:
		h.registrar.updateDesired(order.UID, func(e *desiredEntry) { e.crashed = true })
		target.process.crash()
	case ctl.CommandIsolate:
		h.registrar.updateDesired(order.UID, func(e *desiredEntry) { e.isolated = order.On })
	case ctl.CommandRemove:
		h.registrar.updateDesired(order.UID, func(e *desiredEntry) { e.state = list.Deleted })
		target.stop()
		delete(h.servers, order.UID)
		h.removed[order.UID] = target
	}
}

// register enters a machine's process at the registry, if there is one.
func (h *host) register(m *machine, bootMS int64) {
	if h.registrar != nil {
		h.registrar.register(&m.process.spec, m.process.ports[0], bootMS)
	}
}

// bootMS is the time at which a process that starts now says that it started, by the wall clock of its machine: Unix time in ms.
func (h *host) bootMS() int64 { return time.Now().Add(h.wallClockSkew).UnixMilli() }

// start runs a server process on a machine. Groups that are partitioned from the machine are partitioned from the process too.
func (h *host) start(m *machine, spec model.Spec, cold bool, ports []int) error {
	started, err := startServer(spec, cold, ports, m.net, h.records, func(s *server) {
		s.crash()
		h.registrar.updateDesired(spec.UID, func(e *desiredEntry) { e.crashed = true })
		h.out.Send(ctl.Event{Kind: ctl.EventFell, UID: spec.UID, At: clock.Now()})
	}, reportErrors(h.out))
	if err != nil {
		return err
	}
	m.process = started
	m.partitionedGroups.Range(func(group, _ any) bool {
		err = errors.Join(err, started.listeners[group.(int)].SetPartitioned(true))
		return true
	})
	return err
}

// stop ends the machine's process and waits for its connections to end.
func (m *machine) stop() {
	m.process.crash()
	m.process.tasks.Wait()
}

// reservePorts reserves a port for each group of sidecars. Ports reserved before an error are released by releasePorts.
func (m *machine) reservePorts(groups int) ([]int, error) {
	ports := make([]int, groups)
	for i := range ports {
		reservation, err := link.Reserve(link.Anywhere)
		if err != nil {
			return nil, err
		}
		m.reservedPorts = append(m.reservedPorts, reservation)
		ports[i] = int(reservation.Addr.Port())
	}
	return ports, nil
}

// releasePorts releases the machine's ports. Errors are left alone: the end of this process closes the descriptors as well.
func (m *machine) releasePorts() {
	for _, reservation := range m.reservedPorts {
		_ = reservation.Close()
	}
}

// injectFault sets the fault state of the machine's process.
func (m *machine) injectFault(order ctl.Order) error {
	if order.Fault == nil {
		return errors.New("trouble: the order names no fault")
	}
	m.process.updateModel(func(now int64) { m.process.model.SetFault(now, *order.Fault) })
	return nil
}

// changeLinks changes the links to the machine, and partitions a group from it where the order says so.
func (m *machine) changeLinks(order ctl.Order) error {
	m.net.apply(order)
	if order.Do == ctl.CommandLink && order.Partitioned != nil {
		return m.setPartitioned(order.Group, *order.Partitioned)
	}
	return nil
}

// setPartitioned partitions a group of sidecars from the machine, whose calls then do not arrive, or ends that.
func (m *machine) setPartitioned(group int, partitioned bool) error {
	if group < 0 || group >= len(m.process.listeners) {
		return fmt.Errorf("link: no group %d", group)
	}
	if partitioned {
		m.partitionedGroups.Store(group, true)
	} else {
		m.partitionedGroups.Delete(group)
	}
	err := m.process.listeners[group].SetPartitioned(partitioned)
	if errors.Is(err, net.ErrClosed) {
		return nil // no process runs; the machine's next one is partitioned as it starts
	}
	return err
}
