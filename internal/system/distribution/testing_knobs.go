package distribution

// TestingKnobs disable one protection each, so that a test can show what the protection is for. All are false outside tests.
type TestingKnobs struct {
	// AcceptDownEntries makes a server merge every peer entry that marks a proxy down, even while the server or the proxy's owner is
	// still in contact with the proxy (D7).
	AcceptDownEntries bool
	// OwnContactsOnly makes a server consider a peer lost that does not synchronise with it, whatever other peers report (D7).
	OwnContactsOnly bool
	// SkipRejoinDelay makes a server that was isolated serve proxies as soon as its chain is current (D8).
	SkipRejoinDelay bool
	// DateByArrival makes servers and subscribers date the contents of a message by its arrival instead of its origin (D2, D5).
	DateByArrival bool
	// AlwaysReplaceTable makes a subscriber replace its table by any complete one, however old the server list in it is (D4).
	AlwaysReplaceTable bool
	// AcceptAnyReply makes a subscriber accept any reply that arrives on the connection in place of the expected one (D15).
	AcceptAnyReply bool
	// ServeLateState makes a starting proxy serve a state that arrived too late to prove freshness (D3).
	ServeLateState bool
	// ServeNeighbourImmediately makes a starting proxy serve a neighbour's state before the known control-plane nodes have been tried (D3).
	ServeNeighbourImmediately bool
}
