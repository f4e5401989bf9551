package rules

var changeControls = []control{
	{"the old service after a change", func(s *scenario) {
		s.version(testConfig(5, "post"), 1, 14*second, 15*second, 200)
		s.serve("/mail/2", "mailer", 20*second)
	}, "CONFIG"},
	{"the old service soon after a change", func(s *scenario) {
		s.version(testConfig(5, "post"), 1, 14*second, 15*second, 200)
		s.serve("/mail/2", "mailer", 17*second)
	}, ""},
	{"the old service while the change is unanswered", func(s *scenario) {
		s.version(testConfig(5, "post"), 1, 14*second, Never, 0)
		s.serve("/mail/2", "mailer", 25*second)
	}, ""},
	{"the new service of a change that was refused", func(s *scenario) {
		s.version(testConfig(5, "post"), 1, 14*second, Never, 412)
		s.serve("/mail/2", "post", 25*second)
	}, "CONFIG"},
	{"a 404 after the route has come", func(s *scenario) {
		s.version(withRoute(testConfig(5, "mailer"), "/new/", "thumbs"), 1, 14*second, 15*second, 200)
		s.miss("/new/2", 20*second)
	}, "CONFIG"},
	{"a 404 before the route must have come", func(s *scenario) {
		s.version(withRoute(testConfig(5, "mailer"), "/new/", "thumbs"), 1, 14*second, 15*second, 200)
		s.miss("/new/2", 17*second)
	}, ""},
	{"a dropped route that still runs", func(s *scenario) {
		s.version(withRoute(testConfig(5, "mailer"), "/new/", "thumbs"), 1, 13*second, 14*second, 200)
		s.version(testConfig(6, "mailer"), 5, 14*second, 15*second, 200)
		s.serve("/new/2", "thumbs", 20*second)
	}, "CONFIG"},
	{"a proxy that goes back", func(s *scenario) {
		s.version(testConfig(5, "post"), 1, 14*second, 15*second, 200)
		s.serve("/mail/2", "post", 16*second)
		s.serve("/mail/3", "mailer", 17*second)
	}, "CONFIG"},
	{"a proxy that goes back after a new start", func(s *scenario) {
		s.version(testConfig(5, "post"), 1, 14*second, 15*second, 200)
		s.serve("/mail/2", "post", 16*second)
		s.RecordFault(Fault{Proxy: oneProxy, Kind: "start", At: 16500 * 1e6})
		s.serve("/mail/3", "mailer", 17*second)
	}, ""},
	{"another proxy that is behind", func(s *scenario) {
		s.version(testConfig(5, "post"), 1, 14*second, 15*second, 200)
		s.serve("/mail/2", "post", 16*second)
		t, _ := s.serve("/mail/3", "mailer", 17*second)
		t.Proxy = "127.0.1.2:1"
	}, ""},
	{"two changes on one version", func(s *scenario) {
		s.version(testConfig(5, "mailer"), 1, 14*second, 15*second, 200)
		s.version(testConfig(6, "mailer"), 1, 14*second, 15*second, 200)
	}, "CONFIG"},
	{"one change that is sent twice", func(s *scenario) {
		s.version(testConfig(5, "mailer"), 1, 14*second, 15*second, 200)
		s.version(testConfig(5, "mailer"), 1, 14*second, 15*second, 200)
	}, ""},
	{"an invalid change is acknowledged", func(s *scenario) {
		s.version(testConfig(5, "mailer"), 1, 14*second, 15*second, 200).Invalid = true
	}, "CONFIG"},
	{"nothing is read back", func(s *scenario) { s.Read = nil }, "CONFIG"},
	{"an old version is read back", func(s *scenario) {
		s.version(testConfig(5, "post"), 1, 14*second, 15*second, 200)
		s.Read = testConfig(1, "mailer")
	}, "CONFIG"},
	{"something else is read back", func(s *scenario) { s.Read = testConfig(1, "post") }, "CONFIG"},
	{"an unanswered version is read back", func(s *scenario) {
		s.version(testConfig(5, "post"), 1, 14*second, Never, 0)
		s.Read = testConfig(5, "post")
	}, ""},
	{"a refused version is read back", func(s *scenario) {
		s.version(testConfig(5, "post"), 1, 14*second, Never, 412)
		s.Read = testConfig(5, "post")
	}, "CONFIG"},

	{"a read that shows an old version", func(s *scenario) {
		s.version(testConfig(5, "post"), 1, 14*second, 15*second, 200)
		s.RecordReading(Reading{Sent: 15 * second, Revision: 1})
	}, "CONFIG"},
	{"a read that was sent before the acknowledgement", func(s *scenario) {
		s.version(testConfig(5, "post"), 1, 14*second, 15*second, 200)
		s.RecordReading(Reading{Sent: 15*second - 1, Revision: 1})
		s.RecordReading(Reading{Sent: 15 * second, Revision: 5})
	}, ""},

	{"cut after SIGTERM", func(s *scenario) {
		s.RecordFault(Fault{Proxy: oneProxy, Kind: "term", At: 20 * second})
		t, _ := s.serve("/mail/2", "mailer", 20*second)
		t.Outcome, t.Status, t.Seal = Truncated, 0, ""
	}, "LOST"},
	{"cut after SIGTERM by a proxy that was paused shortly before", func(s *scenario) { s.cutAtEnd(17*second, 18*second) }, ""},
	{"cut after SIGTERM by a proxy that was paused long before", func(s *scenario) { s.cutAtEnd(10*second, 15*second) }, "LOST"},
	{"cut after SIGTERM by a proxy that was in trouble later", func(s *scenario) { s.cutAtEnd(21*second, 22*second) }, "LOST"},
	{"cut after SIGTERM by a proxy that was started shortly before", func(s *scenario) {
		s.cutAtEnd(10*second, 11*second)
		s.RecordFault(Fault{Proxy: oneProxy, Kind: Start, At: 19 * second})
	}, "LOST"},
	{"cut after SIGTERM, held for long and never passed on", func(s *scenario) {
		s.RecordFault(Fault{Proxy: oneProxy, Kind: "term", At: 20 * second})
		t, a := s.serve("/mail/2", "mailer", 20*second)
		t.Outcome, t.Status, t.Seal, t.Ended = Truncated, 0, "", 21*second
		a.ID, a.ExecutedAt, a.Seal = "none", Never, ""
	}, "LOST"},
	{"closed unread after SIGTERM", func(s *scenario) {
		s.RecordFault(Fault{Proxy: oneProxy, Kind: "term", At: 20 * second})
		t, a := s.serve("/mail/2", "mailer", 20*second)
		t.Outcome, t.Status, t.Seal = ClosedUnread, 0, ""
		a.ID, a.ExecutedAt, a.Seal = "none", Never, ""
	}, ""},
	{"cut without a planned end", func(s *scenario) {
		t, _ := s.serve("/mail/2", "mailer", 20*second)
		t.Outcome, t.Status, t.Seal = Truncated, 0, ""
	}, ""},
	{"cut after SIGTERM where the server broke off", func(s *scenario) {
		s.RecordFault(Fault{Proxy: oneProxy, Kind: "term", At: 20 * second})
		t, a := s.serve("/mail/2", "mailer", 20*second)
		t.Outcome, t.Status, t.Seal, a.Aborted = Truncated, 0, "", true
	}, ""},
	{"cut after SIGTERM as the server ended, its answer under way", func(s *scenario) { s.cutAsServerEnded(0, Never) }, ""},
	{"cut after SIGTERM as the server ended, its last bytes under way", func(s *scenario) { s.cutAsServerEnded(0, -second/10) }, ""},
	{"cut after SIGTERM as the server ended, long after its complete answer", func(s *scenario) { s.cutAsServerEnded(0, -second/2) }, "LOST"},
	{"cut after SIGTERM before the server ended", func(s *scenario) { s.cutAsServerEnded(second/10, Never) }, "LOST"},
	{"cut after SIGTERM as an earlier incarnation of the server ended", func(s *scenario) { s.cutAsServerEnded(-2*second, Never) }, "LOST"},
	{"cut after SIGTERM at the client's deadline", func(s *scenario) { s.cutAfter(deadlineOfCut - second/50) }, ""},
	{"cut after SIGTERM before the client's deadline", func(s *scenario) { s.cutAfter(deadlineOfCut - second/10) }, "LOST"},
	{"cut after SIGTERM at the route's time-out", func(s *scenario) {
		s.version(withTimeout(testConfig(2, "mailer"), 3000), 1, 14*second, 15*second, 200)
		s.cutAfter(3*second - second/50)
	}, ""},
	{"cut after SIGTERM before the route's time-out", func(s *scenario) {
		s.version(withTimeout(testConfig(2, "mailer"), 3000), 1, 14*second, 15*second, 200)
		s.cutAfter(3*second - second/10)
	}, "LOST"},
	{"cut after a kill", func(s *scenario) {
		s.RecordFault(Fault{Proxy: oneProxy, Kind: "kill", At: 20 * second})
		s.RecordFault(Fault{Proxy: oneProxy, Kind: "term", At: 20 * second})
		t, _ := s.serve("/mail/2", "mailer", 20*second)
		t.Outcome, t.Status, t.Seal = Truncated, 0, ""
	}, ""},
}

const deadlineOfCut = 5 * second // of the requests of cutAfter

// cutAfter adds a request with a deadline whose answer was truncated after so long, during a graceful shutdown.
func (s *scenario) cutAfter(after Time) {
	const sent = 20 * second
	s.RecordFault(Fault{Proxy: oneProxy, Kind: Terminate, At: sent})
	t, a := s.serve("/mail/2", "mailer", sent)
	t.Outcome, t.Status, t.Seal, t.Ended, t.Deadline = Truncated, 0, "", sent+after, sent+deadlineOfCut
	a.Ended, a.Complete = Never, false
}

// cutAsServerEnded adds a request whose answer was truncated during a graceful shutdown 1.4 s after it was sent. Its server ended so long after that, and had
// sent the complete answer so long after its end; Never: it had not.
func (s *scenario) cutAsServerEnded(serverEnd, answered Time) {
	const sent, ended = 20 * second, 20*second + 7*second/5
	s.RecordFault(Fault{Proxy: oneProxy, Kind: Terminate, At: sent})
	t, a := s.serve("/mail/2", "mailer", sent)
	t.Outcome, t.Status, t.Seal, t.Ended = Truncated, 0, "", ended
	s.RecordServerEnd(ServerEnd{Server: a.Server, At: ended + serverEnd})
	if a.Ended, a.Complete = Never, answered != Never; a.Complete {
		a.Ended = ended + serverEnd + answered
	}
}

// withTimeout gives all routes of a configuration a time-out in milliseconds.
func withTimeout(c *Config, timeout int) *Config {
	for i := range c.Routes {
		c.Routes[i].Timeout = timeout
	}
	return c
}

func withRoute(c *Config, prefix, target string) *Config {
	c.Routes = append(c.Routes, Route{Name: "new", Host: host, Prefix: prefix, Category: "idempotent", Target: target})
	return c
}

// miss adds a request for which a proxy had no route.
func (s *scenario) miss(path string, at Time) {
	t, a := s.serve(path, "thumbs", at)
	t.Status, t.Seal, t.AnswerID, t.Probe = 404, "", "", true
	a.ID, a.ExecutedAt, a.Seal = "none", Never, ""
}

var rateControls = []control{
	{"more repeats than the budget", func(s *scenario) { s.repeat(5, 20*second, second) }, "BUDGET"},
	{"repeats within the budget", func(s *scenario) { s.repeat(4, 20*second, second) }, ""},
	{"repeats in two windows", func(s *scenario) {
		s.repeat(4, 20*second, second)
		s.repeat(4, 40*second, second)
	}, ""},
	{"repeats across the edge of windows", func(s *scenario) {
		s.repeat(4, 29*second, second)
		s.repeat(4, 32*second, second)
	}, "BUDGET"},
	{"repeats that demand allows", func(s *scenario) {
		for i := range 20 {
			s.serve("/thumb/2", "thumbs", 20*second+Time(i)*second/4)
		}
		s.repeat(7, 23*second, second/10)
	}, ""},
	{"more repeats than demand allows", func(s *scenario) {
		for i := range 20 {
			s.serve("/thumb/2", "thumbs", 20*second+Time(i)*second/4)
		}
		s.repeat(14, 23*second, second/10)
	}, "BUDGET"},

	{"too many for a cold server", func(s *scenario) { s.cold(21, second/30) }, "FAILBACK"},
	{"as many as a cold server bears", func(s *scenario) { s.cold(20, second/30) }, ""},
	{"many over more than a second", func(s *scenario) { s.cold(40, second/20) }, ""},
	{"too many, some of them turned away", func(s *scenario) {
		for _, a := range s.cold(21, second/30)[:5] {
			a.Rejected, a.ExecutedAt = 503, Never
		}
	}, "FAILBACK"},
	{"too many at once, sent over more than a second", func(s *scenario) {
		for i, a := range s.cold(21, second/1000) {
			a.Sent = a.At - Time(i)*second/10
		}
	}, ""},
	{"too many, sent within the second in which they came", func(s *scenario) {
		for _, a := range s.cold(21, second/1000) {
			a.Sent = a.At - second/2
		}
	}, "FAILBACK"},
	{"too many, some of them meant for another", func(s *scenario) {
		for _, a := range s.cold(21, second/30)[:5] {
			a.Rejected, a.ExecutedAt = 421, Never
		}
	}, ""},
}

// repeat adds a request that arrives n+1 times, at intervals of gap.
func (s *scenario) repeat(n int, at, gap Time) {
	_, a := s.serve("/thumb/9", "thumbs", at)
	for i := range n {
		s.again(*a, at+gap*Time(i))
	}
}

// cold adds requests to a server that warms up and bears 10 a second, so that at most 20 are allowed in any second.
func (s *scenario) cold(n int, gap Time) []*Arrival {
	var all []*Arrival
	for i := range n {
		_, a := s.serve("/mail/9", "mailer", 20*second+gap*Time(i))
		a.WarmingUp, a.WarmUpLimit = true, 10
		all = append(all, a)
	}
	return all
}

// cutAtEnd adds a request whose answer was truncated during a graceful shutdown, and a fault of the proxy.
func (s *scenario) cutAtEnd(from, to Time) {
	s.RecordFault(Fault{Proxy: oneProxy, Kind: Terminate, At: 20 * second})
	s.BeginFault(Fault{Proxy: oneProxy, Kind: Pause, At: from})(to)
	t, _ := s.serve("/mail/2", "mailer", 20*second)
	t.Outcome, t.Status, t.Seal = Truncated, 0, ""
}
