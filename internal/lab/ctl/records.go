package ctl

// Attempt is what a server observed of one attempt.
type Attempt struct {
	Server   string         `json:"s"`
	Boot     int64          `json:"b"` // start of the process that received it
	Near     int            `json:"n"` // the sidecar that sent it
	ID       string         `json:"i"` // of the request
	First    int64          `json:"f"` // when its first bytes were sent
	Received int64          `json:"w"` // when its last byte arrived
	End      int64          `json:"e"` // when either end closed, or the response was written completely; 0: neither happened
	Outcome  AttemptOutcome `json:"h"`
	New      bool           `json:"c"` // it is the first on its connection
	Work     int64          `json:"k"` // ns of a core of speed 1
}

// AttemptOutcome is how an attempt at a server ended. The values are part of the records' format.
type AttemptOutcome string

// The outcomes of an attempt at a server.
const (
	AttemptServed   AttemptOutcome = "served" // the response was written
	AttemptFailed   AttemptOutcome = "failed" // an error was written after the work
	AttemptRejected AttemptOutcome = "turned" // it was rejected without work
	AttemptLeft     AttemptOutcome = "left"   // the sidecar closed the connection
	AttemptDied     AttemptOutcome = "died"   // the server ended
)

// ListUpdate is the state of one server that the list published to one sidecar.
type ListUpdate struct {
	Near  int    `json:"n"`
	UID   string `json:"u"`
	State string `json:"s"` // a list.State
	At    int64  `json:"t"` // when it was written completely
}

// RegistryUpdate is one message of the server list that a registry node wrote to a reader.
type RegistryUpdate struct {
	Near          int    `json:"n"`
	Node          string `json:"k"`
	Conn          int64  `json:"c"` // unique number of the connection
	Watch         bool   `json:"w"`
	KnownRevision int64  `json:"h"` // that the reader sent with its call; negative: none
	Cluster       string `json:"l"` // id of the cluster whose revision it is
	Rev           int64  `json:"r"`
	Complete      bool   `json:"a"`
	ServerCount   int    `json:"x"` // number of servers in the message
	At            int64  `json:"t"` // when it was written completely
}

// RouteUpdate is one message of the route table that a registry node wrote to a watcher.
type RouteUpdate struct {
	Near       int    `json:"n"`
	Node       string `json:"k"`
	Conn       int64  `json:"c"` // unique number of the connection
	Bytes      int    `json:"b"`
	At         int64  `json:"t"` // when it was written completely
	Generation int64  `json:"gen"`
	Complete   bool   `json:"all"`
	Hash       string `json:"hash"`    // of the table after it; "": nothing changed
	Cluster    string `json:"cluster"` // id of the cluster whose generation it is; "": as in the message before
}

// Gossip is the traffic between sidecars since the record before.
type Gossip struct {
	At          int64 `json:"t"`
	Packets     int64 `json:"p"`
	Bytes       int64 `json:"b"` // of packets, without headers
	Streams     int64 `json:"s"`
	StreamBytes int64 `json:"c"`
}

// RegistryCall is one write or read of a client of the registry, with the content that it wrote or read.
type RegistryCall struct {
	Client  int         `json:"c"`
	Key     int         `json:"k"`
	Write   bool        `json:"w"`
	Expect  int64       `json:"e"` // write: the revision that the entry was required to have
	Value   int         `json:"v"`
	Rev     int64       `json:"r"` // of the entry afterwards
	Outcome CallOutcome `json:"h"`
	Call    int64       `json:"f"` // when it was called
	Return  int64       `json:"t"` // when it returned
}

// CallOutcome is how a call to the registry ended. The values are part of the records' format.
type CallOutcome string

// The outcomes of a call to the registry.
const (
	CallOK        CallOutcome = "ok"        // a write was applied, or a read was answered
	CallConflict  CallOutcome = "conflict"  // the entry did not have the required revision
	CallUncertain CallOutcome = "uncertain" // it may have been applied, and may still be
	CallNone      CallOutcome = "none"      // it was not applied
)
