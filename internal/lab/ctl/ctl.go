// Package ctl is what the lab and its stand-in processes say to each other: orders as JSON lines on standard input, and
// acknowledgements and news as JSON lines on standard output. A stand-in ends when its input does, so none outlives the lab.
// What a stand-in saw goes to a file of its own, a record a line, for the checkers.
package ctl

import (
	"io"
	"sync"

	"gradeusher.example/gradeusher/internal/lab/link"
	"gradeusher.example/gradeusher/internal/lab/model"
)

// Order is one thing that the lab has a stand-in do. Fields that an order does not name are not looked at.
type Order struct {
	ID int    `json:"id"`
	Do string `json:"do"`

	UID   string       `json:"uid,omitempty"`   // the server meant
	Spec  *model.Spec  `json:"spec,omitempty"`  // add
	Cold  bool         `json:"cold,omitempty"`  // add, revive: started just now
	Fault *model.Fault `json:"wrong,omitempty"` // trouble
	By    int64        `json:"by,omitempty"`    // clock: ns that the wall clock jumps

	Nears       []int       `json:"nears,omitempty"` // link, reset, forget: the near ends meant; none: all
	State       *link.State `json:"state,omitempty"` // link
	Partitioned *bool       `json:"cut,omitempty"`   // link: whether calls of group come up
	Group       int         `json:"group,omitempty"` // link: the group of near ends that Cut means

	Front    string `json:"front,omitempty"`     // front: where the relay leads calls to UID
	BySource bool   `json:"by_source,omitempty"` // front: callers are told by where they call from
	On       bool   `json:"on,omitempty"`        // silent

	Entry *Entry  `json:"entry,omitempty"` // list: what it learns
	Mode  string  `json:"mode,omitempty"`  // list-mode: "", "late", "old", "cut", "garbled"
	Late  float64 `json:"late,omitempty"`  // list-mode late: seconds
}

// Entry is one server of the list, without the host of its address, which differs from one sidecar to the next.
type Entry struct {
	UID    string `json:"uid"`
	Ports  []int  `json:"ports"` // by the group of the sidecar
	Zone   string `json:"az"`
	Kind   string `json:"model"`
	State  string `json:"state"`
	BootMS int64  `json:"boot_ms"`

	Size float64 `json:"capacity_hint"`
}

// Event is what a stand-in says to the lab.
type Event struct {
	ID     int    `json:"id,omitempty"` // of the order that this acknowledges; 0: none
	At     int64  `json:"at"`           // when it took effect, in ns of the lab's clock
	Error  string `json:"error,omitempty"`
	Kind   string `json:"kind,omitempty"` // "ready", "fell"
	UID    string `json:"uid,omitempty"`
	Ports  []int  `json:"ports,omitempty"`   // add: where the server listens, by group
	BootMS int64  `json:"boot_ms,omitempty"` // add, revive
}

// EventWriter writes news, one line each. It is safe for concurrent use.
type EventWriter struct {
	mu     sync.Mutex
	writer io.Writer
}

// NewEventWriter writes to a lab.
func NewEventWriter(writer io.Writer) *EventWriter { return &EventWriter{writer: writer} }

// Send writes one piece of news. A lab that is gone is no error: the input ends too.
func (o *EventWriter) Send(event Event) {
	line, err := Marshal(event)
	if err != nil {
		return // News always marshals
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	_, _ = o.writer.Write(line)
}
