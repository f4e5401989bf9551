package ctl

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
