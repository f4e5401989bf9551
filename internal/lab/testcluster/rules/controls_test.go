package rules

import "strings"

func fields(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Fields(text)
}

var answerControls = []control{
	{"no seal", func(s *scenario) { t, _ := s.serve("/mail/2", "mailer", 20*second); t.Seal = "" }, "MIXED"},
	{"a seal that no server gave", func(s *scenario) { t, _ := s.serve("/mail/2", "mailer", 20*second); t.Seal = "other" }, "MIXED"},
	{"another request's answer", func(s *scenario) { t, _ := s.serve("/mail/2", "mailer", 20*second); t.Seal = "seal id1" }, "MIXED"},
	{"another request's id", func(s *scenario) { t, _ := s.serve("/mail/2", "mailer", 20*second); t.AnswerID = "id1" }, "MIXED"},
	{"a changed answer", func(s *scenario) { t, _ := s.serve("/mail/2", "mailer", 20*second); t.Answer++ }, "MIXED"},
	{"a success where the server failed", func(s *scenario) { _, a := s.serve("/mail/2", "mailer", 20*second); a.Status = 500 }, "MIXED"},
	{"bytes after the answer", func(s *scenario) { t, _ := s.serve("/mail/2", "mailer", 20*second); t.Surplus = 3 }, "MIXED"},
	{"bytes that nobody asked for", func(s *scenario) { s.RecordStray(Stray{Proxy: oneProxy, Bytes: 3}) }, "MIXED"},
	{"bytes that are no answer", func(s *scenario) { t, _ := s.serve("/mail/2", "mailer", 20*second); t.Outcome, t.Status = Malformed, 0 }, "MIXED"},
	{"the server's failure passed on", func(s *scenario) {
		t, a := s.serve("/mail/2", "mailer", 20*second)
		t.Status, a.Status = 500, 500
	}, ""},

	{"an id that no client sent", func(s *scenario) {
		_, a := s.serve("/mail/2", "mailer", 20*second)
		s.again(*a, 20*second).ID = "smuggled"
	}, "UNASKED"},
	{"another path", func(s *scenario) { _, a := s.serve("/mail/2", "mailer", 20*second); a.Path = "/mail/3" }, "UNASKED"},
	{"another method", func(s *scenario) { _, a := s.serve("/mail/2", "mailer", 20*second); a.Method = "PUT" }, "UNASKED"},
	{"another body", func(s *scenario) { _, a := s.serve("/mail/2", "mailer", 20*second); a.Body++ }, "UNASKED"},

	{"two runs", func(s *scenario) { _, a := s.serve("/mail/2", "mailer", 20*second); s.again(*a, 20*second) }, "TWICE"},
	{"two runs of a stream", func(s *scenario) { _, a := s.stream("/chat/2", 20*second); s.again(*a, 20*second) }, "TWICE"},
	{"two runs that may be", func(s *scenario) { _, a := s.serve("/thumb/2", "thumbs", 20*second); s.again(*a, 20*second) }, ""},
	{"a second server after a refusal", func(s *scenario) {
		_, a := s.serve("/mail/2", "mailer", 20*second)
		b := s.again(*a, 20*second)
		b.ExecutedAt, b.Rejected, b.Seal = Never, 503, ""
	}, ""},

	{"a promise that is not kept", func(s *scenario) {
		t, _ := s.serve("/mail/2", "mailer", 20*second)
		t.Status, t.Seal, t.AnswerID = 503, "", ""
	}, "REFUSED"},
	{"a 429 that is not kept", func(s *scenario) {
		t, _ := s.stream("/chat/2", 20*second)
		t.Status, t.Seal, t.Stream, t.Events = 429, "", false, nil
	}, "REFUSED"},
	{"a promise that is kept", func(s *scenario) {
		t, a := s.serve("/mail/2", "mailer", 20*second)
		t.Status, t.Seal, t.AnswerID = 503, "", ""
		a.ExecutedAt, a.Rejected, a.Seal = Never, 503, ""
	}, ""},

	{"six requests turned away", func(s *scenario) { s.deny(6, 400) }, "DENIED"},
	{"five requests turned away", func(s *scenario) { s.deny(5, 400) }, ""},
	{"six with a redirect", func(s *scenario) { s.deny(6, 307) }, "DENIED"},
	{"six with a 429", func(s *scenario) { s.deny(6, 429) }, ""},
	{"six by a proxy that was killed just before", func(s *scenario) {
		s.RecordFault(Fault{Proxy: oneProxy, Kind: "kill", At: 19 * second})
		s.deny(6, 400)
	}, ""},
}

// deny adds requests that a proxy rejected itself.
func (s *scenario) deny(n, status int) {
	for range n {
		t, a := s.serve("/mail/2", "mailer", 20*second)
		t.Status, t.Seal, t.AnswerID = status, "", ""
		a.ID, a.ExecutedAt, a.Seal = "none", Never, ""
	}
}

var streamControls = []control{
	{"a piece is missing", func(s *scenario) {
		t, a := s.stream("/chat/2", 20*second)
		t.Events = []Segment{{a.Seal, 1, 4}, {a.Seal, 6, 10}}
	}, "ORDER"},
	{"a piece comes twice", func(s *scenario) {
		t, a := s.stream("/chat/2", 20*second)
		t.Events = []Segment{{a.Seal, 1, 5}, {a.Seal, 5, 10}}
	}, "ORDER"},
	{"the first piece is missing", func(s *scenario) { t, a := s.stream("/chat/2", 20*second); t.Events = []Segment{{a.Seal, 2, 10}} }, "ORDER"},
	{"closed before the last piece", func(s *scenario) { t, a := s.stream("/chat/2", 20*second); t.Events = []Segment{{a.Seal, 1, 9}} }, "ORDER"},
	{"closed without a piece", func(s *scenario) { t, _ := s.stream("/chat/2", 20*second); t.Events = nil }, "ORDER"},
	{"cut before the last piece", func(s *scenario) {
		t, a := s.stream("/chat/2", 20*second)
		t.Outcome, t.Events = Truncated, []Segment{{a.Seal, 1, 9}}
	}, ""},
	{"pieces of another request", func(s *scenario) { t, _ := s.stream("/chat/2", 20*second); t.Events[0].Run = "seal id3" }, "ORDER"},
	{"pieces of two runs that may not be joined", func(s *scenario) {
		t, a := s.stream("/chat/2", 20*second)
		a.ExecutedAt, a.SentEvents = Never, 4 // so that only the joining is wrong
		b := s.again(*a, 20*second)
		b.From, b.ExecutedAt = 4, 20*second
		t.Events = []Segment{{a.Seal, 1, 4}, {b.Seal, 5, 10}}
	}, "ORDER"},
	{"a run that goes on where the last one was cut", func(s *scenario) {
		t, a := s.stream("/long/2", 20*second)
		b := s.again(*a, 20*second)
		b.From = 4
		t.Events = []Segment{{a.Seal, 1, 4}, {b.Seal, 5, 10}}
	}, ""},
	{"a run from the start is joined as if it went on", func(s *scenario) {
		t, a := s.stream("/long/2", 20*second)
		b := s.again(*a, 20*second)
		t.Events = []Segment{{a.Seal, 1, 4}, {b.Seal, 5, 10}}
	}, "ORDER"},
	{"a client goes on after a cut", func(s *scenario) {
		t, a := s.stream("/long/2", 20*second)
		t.From, a.From, t.Events = 6, 6, []Segment{{a.Seal, 7, 10}}
	}, ""},
	{"a client is sent what it has", func(s *scenario) { t, _ := s.stream("/long/2", 20*second); t.From = 6 }, "ORDER"},
}

var placeControls = []control{
	{"a service of no route", func(s *scenario) { s.serve("/mail/2", "thumbs", 20*second) }, "ROUTE CONFIG"},
	{"a share of weight 0", func(s *scenario) { _, a := s.stream("/chat/2", 20*second); a.Service = "spare" }, "ROUTE CONFIG"},

	{"a draining server after its time", func(s *scenario) {
		s.serve("/mail/2", "mailer", 20*second)
		s.RecordDraining("server of mailer", 15*second)
	}, "DRAIN"},
	{"a draining server within its time", func(s *scenario) {
		s.serve("/mail/2", "mailer", 20*second)
		s.RecordDraining("server of mailer", 17*second)
	}, ""},
	{"a draining server by way of a proxy in trouble", func(s *scenario) {
		s.serve("/mail/2", "mailer", 20*second)
		s.RecordDraining("server of mailer", 15*second)
		s.RecordFault(Fault{Proxy: oneProxy, Kind: "start", At: 18 * second})
	}, ""},
	{"a draining server by way of a proxy whose trouble lasts", func(s *scenario) {
		s.serve("/mail/2", "mailer", 20*second)
		s.RecordDraining("server of mailer", 15*second)
		s.BeginFault(Fault{Proxy: oneProxy, Kind: "cut", At: 8 * second})
	}, ""},
	{"a draining server by way of a proxy whose trouble has lasted", func(s *scenario) {
		s.serve("/mail/2", "mailer", 20*second)
		s.RecordDraining("server of mailer", 15*second)
		s.BeginFault(Fault{Proxy: oneProxy, Kind: "cut", At: 8 * second})(15 * second)
	}, "DRAIN"},
	{"a draining server that was sent a request in time", func(s *scenario) {
		_, a := s.serve("/mail/2", "mailer", 20*second)
		a.Sent = 17 * second
		s.RecordDraining("server of mailer", 15*second)
	}, ""},
	{"a draining server while one of three keepers is in trouble", func(s *scenario) {
		s.serve("/mail/2", "mailer", 20*second)
		s.RecordDraining("server of mailer", 15*second)
		s.controlPlaneFaults(1, 18*second, 19*second)
	}, "DRAIN"},
	{"a draining server just after most keepers were in trouble", func(s *scenario) {
		s.serve("/mail/2", "mailer", 20*second)
		s.RecordDraining("server of mailer", 15*second)
		s.controlPlaneFaults(2, 14*second, 17*second)
	}, ""},
	{"a draining server long after most keepers were in trouble", func(s *scenario) {
		s.serve("/mail/2", "mailer", 20*second)
		s.RecordDraining("server of mailer", 15*second)
		s.controlPlaneFaults(2, 14*second, 15*second)
	}, "DRAIN"},
	{"another server at the address of one that drained", func(s *scenario) {
		_, a := s.serve("/mail/2", "mailer", 20*second)
		a.Rejected, a.ExecutedAt = 421, Never
		s.RecordDraining("server of mailer", 15*second)
	}, ""},

	{"a server abroad", func(s *scenario) { _, a := s.serve("/thumb/2", "thumbs", 20*second); a.Region = "south" }, "HOME"},
	{"a server abroad that refuses", func(s *scenario) {
		_, a := s.serve("/thumb/2", "thumbs", 20*second)
		a.Region, a.Rejected, a.ExecutedAt = "south", 503, Never
	}, "HOME"},
	{"a server abroad without homes", func(s *scenario) { _, a := s.serve("/mail/2", "mailer", 20*second); a.Region = "south" }, ""},

	{"an evacuated zone after its time", func(s *scenario) { s.evacuate(14*second, Never); s.serve("/mail/2", "mailer", 20*second) }, "EVAC"},
	{"an evacuated zone within its time", func(s *scenario) { s.evacuate(16*second, Never); s.serve("/mail/2", "mailer", 20*second) }, ""},
	{"an evacuation that was taken back", func(s *scenario) { s.evacuate(14*second, 19*second); s.serve("/mail/2", "mailer", 20*second) }, ""},
	{"an evacuation while a keeper was in trouble", func(s *scenario) {
		s.evacuate(14*second, Never)
		s.RecordFault(Fault{ControlPlane: true, Kind: "kill", At: 13 * second})
		s.serve("/mail/2", "mailer", 20*second)
	}, ""},
	{"an evacuation long after a keeper's trouble has ended", func(s *scenario) {
		s.evacuate(14*second, Never)
		s.BeginFault(Fault{ControlPlane: true, Kind: "pause", At: 2 * second})(9 * second)
		s.serve("/mail/2", "mailer", 20*second)
	}, "EVAC"},
	{"an evacuation soon after a keeper's trouble has ended", func(s *scenario) {
		s.evacuate(14*second, Never)
		s.BeginFault(Fault{ControlPlane: true, Kind: "pause", At: 2 * second})(11 * second)
		s.serve("/mail/2", "mailer", 20*second)
	}, ""},
	{"an evacuation that was stretched enough", func(s *scenario) {
		s.evacuate(14*second, Never)
		s.RecordFault(Fault{ControlPlane: true, Kind: "kill", At: 13 * second})
		s.serve("/mail/2", "mailer", 26*second)
	}, "EVAC"},
}

// controlPlaneFaults adds a fault of some of three control-plane nodes.
func (s *scenario) controlPlaneFaults(n int, from, to Time) {
	s.Core = 3
	for i := range n {
		s.BeginFault(Fault{ControlPlane: true, Machine: string(rune('a' + i)), Kind: "down", At: from})(to)
	}
}

// evacuate adds an evacuation of the zone of all servers, which lasts to the end if finish is Never.
func (s *scenario) evacuate(acked, finish Time) {
	s.RecordChange(&Change{Zone: "north-a", Start: true, Sent: acked, AcknowledgedAt: acked, Status: 200})
	if finish != Never {
		s.RecordChange(&Change{Zone: "north-a", Sent: finish, AcknowledgedAt: finish, Status: 200})
	}
}
