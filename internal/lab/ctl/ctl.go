// Package ctl is the control protocol between the lab and its stand-in processes (servers, the list, registry nodes).
//
// The lab writes orders to the standard input of a stand-in, and the stand-in writes events, of which some acknowledge orders, to its
// standard output; both as JSON lines. A stand-in ends when its input does, so none outlives the lab. What a stand-in observes it appends
// to a file of records, one JSON line each, which the checkers read.
//
// Terms: a near end is a process that connects to the stand-in, by the index of its address (package link). All times are ns of
// the lab's clock (package clock) unless a name says otherwise. The JSON names are a format and stay.
package ctl

import (
	"io"
	"sync"

	"gradeusher.example/gradeusher/internal/lab/link"
	"gradeusher.example/gradeusher/internal/lab/model"
)

// Command says what an order does. The values are part of the protocol.
type Command string

// The commands of servers, which Host obeys.
const (
	CommandAdd     Command = "add"     // a server starts on a new machine
	CommandRevive  Command = "revive"  // a new process starts where the one before was
	CommandDrain   Command = "drain"   // the server rejects further requests
	CommandDie     Command = "die"     // the server's process ends
	CommandRemove  Command = "remove"  // the server's process ends for good
	CommandIsolate Command = "silent"  // the server's machine cannot reach the registry, or can again
	CommandFault   Command = "trouble" // the server has another fault state from now on
	CommandClock   Command = "clock"   // the wall clock of the servers' machines jumps
)

// The commands of links, which every stand-in obeys that stands behind a network.
const (
	CommandFront  Command = "front"  // a port opens, from which calls are forwarded to an address
	CommandLink   Command = "link"   // links have another state from now on
	CommandReset  Command = "reset"  // connections are reset
	CommandForget Command = "forget" // the far end loses its connections without a word to the near end
)

// The commands of the list, and of a lying member.
const (
	CommandUpdateList   Command = "list"      // the list learns the state of a server
	CommandListMode     Command = "list-mode" // the list answers with a fault from now on, or without one
	CommandFalseReports Command = "lie"       // false reports begin or end
)

// Order is one command of the lab to a stand-in. The comments of the fields name the commands that read them.
type Order struct {
	ID int     `json:"id"` // that the event which acknowledges it repeats
	Do Command `json:"do"`

	UID   string       `json:"uid,omitempty"`   // the server that it acts on
	Spec  *model.Spec  `json:"spec,omitempty"`  // add: the server that starts
	Cold  bool         `json:"cold,omitempty"`  // add: whether the server starts cold
	Fault *model.Fault `json:"wrong,omitempty"` // trouble: the fault state from now on
	By    int64        `json:"by,omitempty"`    // clock: ns by which the wall clock jumps; lie: ns of work per second that are reported

	Nears       []int       `json:"nears,omitempty"` // link, reset, forget: the near ends that it acts on; none: all
	State       *link.State `json:"state,omitempty"` // link: the state of the links from now on; nil: as before
	Partitioned *bool       `json:"cut,omitempty"`   // link: whether no call of Group is established; nil: as before
	Group       int         `json:"group,omitempty"` // link: the group of near ends that Partitioned acts on

	Front    string `json:"front,omitempty"`     // front: the address to which calls to UID are forwarded
	BySource bool   `json:"by_source,omitempty"` // front: near ends are identified by their source address
	On       bool   `json:"on,omitempty"`        // silent, lie: whether it begins

	Entry *Entry  `json:"entry,omitempty"` // list: what the list learns
	Mode  string  `json:"mode,omitempty"`  // list-mode: "", "late", "old", "cut", "garbled"; lie: the clients, with commas between them
	Late  float64 `json:"late,omitempty"`  // list-mode late: seconds by which changes are late
}

// Entry is one server of the list, without the host of its address, which differs between sidecars.
type Entry struct {
	UID    string `json:"uid"`
	Ports  []int  `json:"ports"` // by group of sidecars
	Zone   string `json:"az"`
	Kind   string `json:"model"`
	State  string `json:"state"`   // a list.State
	BootMS int64  `json:"boot_ms"` // start of its process, Unix time in ms

	Size float64 `json:"capacity_hint"` // relative capacity
}

// Event is one message of a stand-in to the lab.
type Event struct {
	ID     int       `json:"id,omitempty"`    // of the order that it acknowledges; 0: none
	At     int64     `json:"at"`              // when the order took effect, or the event happened
	Error  string    `json:"error,omitempty"` // why the order failed
	Kind   EventKind `json:"kind,omitempty"`
	UID    string    `json:"uid,omitempty"`     // the server that the event concerns, or that of the order
	Ports  []int     `json:"ports,omitempty"`   // add, revive: the ports of the server, by group of sidecars; front: the port; of the list's EventReady: its port
	BootMS int64     `json:"boot_ms,omitempty"` // add, revive: start of the server's process, Unix time in ms; 0: it started warm
}

// EventKind distinguishes events. The zero value is an acknowledgement. The values are part of the protocol.
type EventKind string

// The kinds of events that acknowledge no order.
const (
	EventReady EventKind = "ready" // the stand-in accepts orders
	EventFell  EventKind = "fell"  // a warming server was sent too much and has ended
	EventError EventKind = "error" // the stand-in had to wait for a socket: Event.Error says why
)

// EventWriter writes events, one line each. It is safe for concurrent use.
type EventWriter struct {
	mu     sync.Mutex
	writer io.Writer
}

// NewEventWriter returns a writer to the lab.
func NewEventWriter(writer io.Writer) *EventWriter { return &EventWriter{writer: writer} }

// Send writes one event. A lab that has ended is no error: the input of the stand-in ends then too.
func (w *EventWriter) Send(event Event) {
	line, err := Marshal(event)
	if err != nil {
		return // an event always marshals
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = w.writer.Write(line) // see above: the lab may have ended
}
