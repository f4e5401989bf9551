package distribution

// TestingKnobs take protections out, one each, so that a test can show what the protection is for. All are false outside tests.
type TestingKnobs struct {
	// AcceptDownEntries has a server merge every entry of a peer that marks a proxy down, also where the server or the owner of
	// the proxy is still in contact with it (D7).
	AcceptDownEntries bool
	// OwnContactsOnly has a server take a peer for lost that does not synchronise with it, whatever other peers report (D7).
	OwnContactsOnly bool
	// SkipRejoinDelay has a server that was isolated serve proxies as soon as its chain is current (D8).
	SkipRejoinDelay bool
	// DateByArrival has servers and subscribers date what a message says by its arrival in place of its origin (D2, D5).
	DateByArrival bool
	// ReplaceAlways has a subscriber replace its table by any complete one, however old the server list in it is (D4).
	ReplaceAlways bool
	// AcceptAnyReply has a subscriber take a reply for the call whose place it has on the connection (D15).
	AcceptAnyReply bool
	// ServeLateState has a starting proxy serve a state that came too late to prove freshness (D3).
	ServeLateState bool
	// NeighbourAtOnce has a starting proxy serve a neighbour's state before the control-plane nodes known have been tried (D3).
	NeighbourAtOnce bool
}
