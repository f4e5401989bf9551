package rules

// flood adds requests of the large tenant at intervals of gap from a time on.
func (s *scenario) flood(n int, at, gap Time) (all []*Arrival) {
	for i := range n {
		_, a := s.serveWith(largeKey, large, at+gap*Time(i))
		all = append(all, a)
	}
	return all
}

// lowerLimit adds a version, acknowledged at 15 s, by which 31 requests of the large tenant are allowed in any 5 s. It binds from 18 s on.
func (s *scenario) lowerLimit() {
	s.tenantVersion(func(c *Config) { c.Tenants[0].RatePerSecond, c.Tenants[0].Burst = 2, 0 })
}

var quotaControls = []control{
	{"more requests than the limit", inTenants(func(s *scenario) { s.flood(87, 30*second, second/20) }), "QUOTA"},
	{"as many requests as the limit", inTenants(func(s *scenario) { s.flood(86, 30*second, second/20) }), ""},
	{"many requests over more than a window", inTenants(func(s *scenario) { s.flood(300, 30*second, 6*second/100) }), ""},
	{"more requests than the limit by way of two proxies", inTenants(func(s *scenario) {
		s.flood(87, 30*second, second/20)
		for i, attempt := range s.Attempts {
			if i%2 == 0 {
				attempt.Proxy = "127.0.1.2:1"
			}
		}
	}), "QUOTA"},
	{"more requests than the limit by way of a proxy in trouble", inTenants(func(s *scenario) {
		s.BeginFault(Fault{Proxy: oneProxy, Kind: "cut", At: 8 * second})
		s.flood(87, 30*second, second/20)
	}), "QUOTA"},
	{"more requests than the limit across the edge of windows", inTenants(func(s *scenario) {
		s.flood(44, 33*second, second/40)
		s.flood(44, 36*second, second/40)
	}), "QUOTA"},
	{"too many at once, sent over more than a window", inTenants(func(s *scenario) {
		s.flood(87, 40*second, 0)
		for i, attempt := range s.Attempts {
			attempt.Sent -= Time(i) * second / 10
		}
	}), ""},
	{"too many, some of them turned away", inTenants(func(s *scenario) {
		for _, a := range s.flood(87, 30*second, second/20)[:5] {
			a.Rejected, a.ExecutedAt = 503, Never
		}
	}), ""},
	{"as many as the limit, each of which runs twice", inTenants(func(s *scenario) {
		for _, a := range s.flood(50, 30*second, second/20) {
			s.Changes[0].Config.Routes[0].Category = "idempotent"
			s.again(*a, a.At+second/100)
		}
	}), "BUDGET"},
	{"many requests of a tenant without a limit", inTenants(func(s *scenario) {
		for i := range 300 {
			s.serveWith(smallKey, small, 30*second+Time(i)*second/100)
		}
	}), ""},

	{"more requests than a lower limit", inTenants(func(s *scenario) { s.lowerLimit(); s.flood(40, 20*second, second/20) }), "QUOTA"},
	{"as many requests as a lower limit", inTenants(func(s *scenario) { s.lowerLimit(); s.flood(31, 20*second, second/20) }), ""},
	{"more requests than a lower limit before it binds", inTenants(func(s *scenario) { s.lowerLimit(); s.flood(40, 16*second, second/40) }), ""},
	{"more requests than a lower limit, in windows that begin before it binds", inTenants(func(s *scenario) {
		s.lowerLimit()
		s.flood(40, 17*second, second/10)
	}), ""},
	{"more requests than a lower limit while another proxy is in trouble", inTenants(func(s *scenario) {
		s.lowerLimit()
		s.BeginFault(Fault{Proxy: "127.0.1.2:1", Kind: "cut", At: 14 * second})(19 * second)
		s.flood(40, 20*second, second/20)
	}), ""},
	{"more requests than a lower limit after the trouble of another proxy", inTenants(func(s *scenario) {
		s.lowerLimit()
		s.BeginFault(Fault{Proxy: "127.0.1.2:1", Kind: "cut", At: 14 * second})(19 * second)
		s.flood(40, 24*second, second/20)
	}), "QUOTA"},
	{"more requests than a lower limit while a keeper was in trouble", inTenants(func(s *scenario) {
		s.lowerLimit()
		s.RecordFault(Fault{ControlPlane: true, Kind: "kill", At: 13 * second})
		s.flood(40, 20*second, second/20)
	}), ""},
	{"more requests than a lower limit that is not answered", inTenants(func(s *scenario) {
		s.lowerLimit()
		s.Changes[1].AcknowledgedAt, s.Changes[1].Status = Never, 0
		s.flood(40, 20*second, second/20)
	}), ""},
	{"more requests than the limit after a higher one that is not answered", inTenants(func(s *scenario) {
		s.tenantVersion(func(c *Config) { c.Tenants[0].RatePerSecond = 1000 })
		s.Changes[1].AcknowledgedAt, s.Changes[1].Status = Never, 0
		s.flood(300, 20*second, second/100)
	}), ""},
	{"more requests than the limit after a higher one that was refused", inTenants(func(s *scenario) {
		c := withTenants(testConfig(5, "mailer"))
		c.Tenants[0].RatePerSecond = 1000
		s.version(c, 1, 14*second, Never, 412)
		s.flood(300, 20*second, second/100)
	}), "QUOTA"},
}
