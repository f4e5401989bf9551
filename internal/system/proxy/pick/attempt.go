package pick

// attempt is one request on its way to one server.
type attempt struct {
	ticket        uint64
	server        *server
	request       *Request
	sentAt        Time
	expectedAt    Time  // when the first event is expected
	prefillTokens int64 // prompt tokens that it adds to the server's work
	memoryTokens  int64 // that it takes of the server's memory
	measuresRate  bool  // nothing waited at the server and nothing of the prompt was cached: it measures the server's prefill rate
	isPending     bool  // its first event is still awaited
	isRetry       bool  // it was counted as a retry
	next, prev    *attempt
}

// attemptTable has the attempts under way by ticket, and reuses those that are over.
type attemptTable struct {
	byTicket   map[uint64]*attempt
	free       *attempt // linked by next
	lastTicket uint64
}

// start makes an attempt with a new ticket. Tickets begin at 1.
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

// release lets an attempt be reused that end has taken out.
func (t *attemptTable) release(a *attempt) {
	*a = attempt{next: t.free}
	t.free = a
}

// pendingAttempts are own attempts at one server whose first event is awaited, oldest first.
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

// remove takes a off the list, and reports whether it was on it.
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

// endPending notes that the first event of a has come or is no longer awaited: its prompt is no work for the server any more.
func (a *attempt) endPending() {
	if a.server.pending.remove(a) {
		a.server.load.own.Prefill -= a.prefillTokens
	}
}
