// Package ctl is what the lab and its stand-in processes say to each other: orders as JSON lines on standard input, and
// acknowledgements and news as JSON lines on standard output. A stand-in ends when its input does, so none outlives the lab.
// What a stand-in saw goes to a file of its own, a record a line, for the checkers.
package ctl

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
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

// Attempt is what a server saw of one attempt.
type Attempt struct {
	Server   string `json:"s"`
	Boot     int64  `json:"b"` // start of the process that got it, ns
	Near     int    `json:"n"` // the sidecar
	ID       string `json:"i"` // of the request
	First    int64  `json:"f"` // when the sidecar sent its first bytes
	Received int64  `json:"w"` // when its last byte had arrived
	End      int64  `json:"e"` // when either side hung up, or the answer was written whole; 0: neither happened
	Outcome  string `json:"h"` // "served", "failed", "turned", "left": the sidecar hung up, "died": the server did
	New      bool   `json:"c"` // the first on its connection
	Work     int64  `json:"k"` // ns of a core of speed 1
}

// ListUpdate is what a list wrote to one sidecar.
type ListUpdate struct {
	Near  int    `json:"n"`
	UID   string `json:"u"`
	State string `json:"s"`
	At    int64  `json:"t"` // when it was written whole
}

// RegistryUpdate is one line of the list that a keeper wrote to one who reads it.
type RegistryUpdate struct {
	Near          int    `json:"n"`
	Node          string `json:"k"`
	Conn          int64  `json:"c"` // the connection, a number of its own
	Watch         bool   `json:"w"`
	KnownRevision int64  `json:"h"` // the revision that the reader said he holds as he called; below 0: none
	Cluster       string `json:"l"` // whose it is
	Rev           int64  `json:"r"`
	Complete      bool   `json:"a"`
	ServerCount   int    `json:"x"` // servers in it
	At            int64  `json:"t"` // when it was written whole
}

// RouteUpdate is one line of the route table that a keeper wrote to one who watches it.
type RouteUpdate struct {
	Near       int    `json:"n"`
	Node       string `json:"k"`
	Conn       int64  `json:"c"` // the connection, a number of its own
	Bytes      int    `json:"b"`
	At         int64  `json:"t"` // when it was written whole
	Generation int64  `json:"gen"`
	Complete   bool   `json:"all"`
	Hash       string `json:"hash"`    // of what it leads to; "": it says only that nothing changed
	Cluster    string `json:"cluster"` // whose generation it is; "": as in the line before
}

// Gossip is what sidecars said to each other since the last one.
type Gossip struct {
	At          int64 `json:"t"`
	Packets     int64 `json:"p"`
	Bytes       int64 `json:"b"` // of packets, without their heads
	Streams     int64 `json:"s"`
	StreamBytes int64 `json:"c"`
}

// RegistryCall is one write or read that a client of the keepers made, by the content that it wrote or found.
type RegistryCall struct {
	Client  int    `json:"c"`
	Key     int    `json:"k"`
	Write   bool   `json:"w"`
	Expect  int64  `json:"e"` // write: the revision that the entry had to have
	Value   int    `json:"v"`
	Rev     int64  `json:"r"` // of the entry after it
	Outcome string `json:"h"` // "ok", "conflict", "uncertain": it may have been done, and may yet be; "none": it was not
	Call    int64  `json:"f"` // ns
	Return  int64  `json:"t"` // ns
}

// Marshal is a value as a line.
func Marshal(value any) ([]byte, error) {
	line, err := json.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("line: %w", err)
	}
	return append(line, '\n'), nil
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

const maxLineBytes = 1 << 20

// Lines reads JSON lines until the input ends, and hands each to do. It is an error if one cannot be read.
func Lines[T any](reader io.Reader, handle func(T) error) error {
	lines := bufio.NewScanner(reader)
	lines.Buffer(nil, maxLineBytes)
	for number := 1; lines.Scan(); number++ {
		var value T
		if err := json.Unmarshal(lines.Bytes(), &value); err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
		if err := handle(value); err != nil {
			return err
		}
	}
	return lines.Err()
}

// Records is a file of records. It is safe for concurrent use. Each is written at once: what a killed process saw is kept.
type Records struct {
	mu   sync.Mutex
	file *os.File
	err  error
}

// NewRecords makes the file.
func NewRecords(path string) (*Records, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, fmt.Errorf("records: %w", err)
	}
	return &Records{file: file}, nil
}

// Add writes one.
func (r *Records) Add(value any) {
	line, err := Marshal(value)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		_, err = r.file.Write(line)
	}
	r.err = errors.Join(r.err, err)
}

// Close returns the first errors of all that was added.
func (r *Records) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return errors.Join(r.err, r.file.Close())
}

// ReadRecords reads all records of a file.
func ReadRecords[T any](path string) ([]T, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("records: %w", err)
	}
	defer file.Close()
	var all []T
	err = Lines(file, func(value T) error {
		all = append(all, value)
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("records: %s: %w", path, err)
	}
	return all, nil
}
