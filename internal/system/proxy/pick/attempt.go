package pick

// attempt is one request in flight to one server.
type attempt struct {
	ticket        uint64
	server        *server
	request       *Request
	sentAt        Time
	expectedAt    Time  // when the first event is expected
	prefillTokens int64 // prompt tokens that the server has to prefill for it
	memoryTokens  int64 // tokens of the server's memory that it takes
	measuresRate  bool  // the server was idle and nothing of the prompt was cached, so the attempt measures the prefill rate
	isPending     bool  // its first event has not arrived yet
	isRetry       bool  // it was counted as a retry in the budget
	next, prev    *attempt
}

// attemptTable holds the attempts in flight by ticket, and reuses the memory of those that have ended.
type attemptTable struct {
	byTicket   map[uint64]*attempt
	free       *attempt // free list, linked by next
	lastTicket uint64
}

// start creates an attempt with a new ticket. Tickets start at 1.
func (t *attemptTable) start(now Time, r *Request, s *server) *attempt {
	a := t.free
	if a == nil {
		a = &attempt{}
	} else {
		t.free = a.next
	}
	t.lastTicket++
	*a = attempt{ticket: t.lastTicket, server: s, request: r, sentAt: now}
	t.byTicket[a.ticket] = a
	return a
}

// release makes an attempt available for reuse. The caller has already removed it from byTicket.
func (t *attemptTable) release(a *attempt) {
	*a = attempt{next: t.free}
	t.free = a
}

// pendingAttempts lists this proxy's attempts at one server that still await their first event, oldest first.
type pendingAttempts struct{ oldest, newest *attempt }

// add appends a.
func (l *pendingAttempts) add(a *attempt) {
	a.isPending = true
	a.prev, a.next = l.newest, nil
	if l.newest != nil {
		l.newest.next = a
	} else {
		l.oldest = a
	}
	l.newest = a
}

// remove removes an attempt from the list and reports whether it was on it.
func (l *pendingAttempts) remove(ended *attempt) bool {
	if !ended.isPending {
		return false
	}
	ended.isPending = false
	if ended.prev != nil {
		ended.prev.next = ended.next
	} else {
		l.oldest = ended.next
	}
	if ended.next != nil {
		ended.next.prev = ended.prev
	} else {
		l.newest = ended.prev
	}
	ended.prev, ended.next = nil, nil
	return true
}

// endPending records that the first event of a has arrived or is no longer
// awaited, so its prompt is no longer counted as work of the server.
func (a *attempt) endPending() {
	if a.server.pending.remove(a) {
		a.server.load.own.Prefill -= a.prefillTokens
	}
}
