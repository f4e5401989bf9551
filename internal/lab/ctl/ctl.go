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

// Order is one command of the lab to a stand-in. Do says which; the comments of the other fields name the orders that read them.
type Order struct {
	ID int    `json:"id"` // that the event which acknowledges it repeats
	Do string `json:"do"` // the command

	UID   string       `json:"uid,omitempty"`   // the server that it acts on
	Spec  *model.Spec  `json:"spec,omitempty"`  // add
	Cold  bool         `json:"cold,omitempty"`  // add, revive: starts cold
	Fault *model.Fault `json:"wrong,omitempty"` // trouble: the fault from now on
	By    int64        `json:"by,omitempty"`    // clock: ns by which the wall clock jumps

	Nears       []int       `json:"nears,omitempty"` // link, reset, forget: the near ends that it acts on; none: all
	State       *link.State `json:"state,omitempty"` // link
	Partitioned *bool       `json:"cut,omitempty"`   // link: whether no call of Group is established
	Group       int         `json:"group,omitempty"` // link: the group of near ends that Partitioned acts on

	Front    string `json:"front,omitempty"`     // front: the address to which the relay forwards calls to UID
	BySource bool   `json:"by_source,omitempty"` // front: near ends are identified by their source address
	On       bool   `json:"on,omitempty"`        // silent: begins or ends

	Entry *Entry  `json:"entry,omitempty"` // list: what the list learns
	Mode  string  `json:"mode,omitempty"`  // list-mode: "", "late", "old", "cut", "garbled"
	Late  float64 `json:"late,omitempty"`  // list-mode late: seconds
}

// Entry is one server of the list, without the host of its address, which differs between sidecars.
type Entry struct {
	UID    string `json:"uid"`
	Ports  []int  `json:"ports"` // by group of sidecars
	Zone   string `json:"az"`
	Kind   string `json:"model"`
	State  string `json:"state"`
	BootMS int64  `json:"boot_ms"` // start of its process, Unix time in ms

	Size float64 `json:"capacity_hint"` // relative capacity
}

// Event is one message of a stand-in to the lab.
type Event struct {
	ID     int    `json:"id,omitempty"`    // of the order that it acknowledges; 0: none
	At     int64  `json:"at"`              // when the order took effect, or the event happened
	Error  string `json:"error,omitempty"` // why the order failed
	Kind   string `json:"kind,omitempty"`  // EventReady or EventFell; "": an acknowledgement
	UID    string `json:"uid,omitempty"`
	Ports  []int  `json:"ports,omitempty"`   // add: the ports of the server, by group of sidecars
	BootMS int64  `json:"boot_ms,omitempty"` // add, revive
}

// The kinds of events that are no acknowledgements.
const (
	EventReady = "ready" // the stand-in accepts orders
	EventFell  = "fell"  // a warming server was sent too much and has ended
)

// EventWriter writes events, one line each. It is safe for concurrent use.
type EventWriter struct {
	mu     sync.Mutex
	writer io.Writer
}

// NewEventWriter returns a writer to the lab.
func NewEventWriter(writer io.Writer) *EventWriter { return &EventWriter{writer: writer} }

// Send writes one event. A lab that has ended is no error: the input of the stand-in ends then too.
func (o *EventWriter) Send(event Event) {
	line, err := Marshal(event)
	if err != nil {
		return // an event always marshals
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	_, _ = o.writer.Write(line)
}
