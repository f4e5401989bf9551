package wire

import (
	"time"

	"gradeusher.example/gradeusher/balance"
)

// Kind is the kind of an event line.
type Kind int

// The kinds of events, with their messages and the fields of Event that each sets.
const (
	BatchStart         Kind = iota // FRAME: Now is the time of all events of the batch
	EndOfBatch                     // YOUR_TURN: the reply to the batch is due
	Instance                       // SWITCH_TO: the events that follow are for the instance
	Open                           // OPEN_INSTANCE: the instance starts, without state; Settings, Names
	Stop                           // STOP: the instance was killed, and its state is void
	Endpoints                      // ENDPOINTS: discovery's List and its Entries
	Request                        // DEMAND: a client's request; ID, Class, Tenant, TimeLeft
	AnswerStarted                  // ACCEPTED: a server began to answer; ID, Attempt
	Result                         // RESPONSE: the outcome of an attempt; Result
	ClientDisconnected             // CLIENT_LEFT: the client gave the request up; ID
	Timer                          // DUE: a timer that Writer.Timer asked for; Token
)

// Event is one event. The Reader reuses it: only the fields that are listed at its Kind are valid.
type Event struct {
	Kind     Kind
	Now      balance.Time // by the simulator's clock, which starts anywhere and never goes back
	Instance int
	Settings balance.Settings
	Names    *Names // how the instance's requests name classes and tenants
	List     balance.ListKind
	Entries  []balance.Endpoint // shared with the Reader, which overwrites them when the list is defined anew
	ID       balance.RequestID
	Class    string        // a name in Names.Class
	Tenant   string        // a name in Names.Tenant; "": none
	TimeLeft time.Duration // until the client gives up
	Attempt  int           // of the request, from 0 in the order in which they were sent
	Result   balance.Result
	Token    uint64 // as given to Writer.Timer
}
