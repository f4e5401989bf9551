package rules

const (
	largeKey, otherLargeKey, smallKey = "large-key", "large-key-2", "small-key"
	large, small                      = "large", "small"
	unheldKey                         = "nobodys-key"
	publicPath                        = "/thumb/2"
)

// withTenants gives a configuration two tenants. One has a limit of 10 requests a second and 10 besides, so that 86 are allowed in any 5 s. The thumb
// route becomes public.
func withTenants(c *Config) *Config {
	c.Tenants = []Tenant{
		{Name: large, Keys: []string{largeKey, otherLargeKey}, RatePerSecond: 10, Burst: 10},
		{Name: small, Keys: []string{smallKey}},
	}
	c.Routes[1].Public = true
	return c
}

// addTenants gives the first version tenants, and the requests so far the key of one of them.
func (s *scenario) addTenants() {
	withTenants(s.Read)
	s.Bounds.QuotaWindow, s.Bounds.QuotaExcess, s.Bounds.QuotaSlack = 5*second, 0.1, 20
	for i, attempt := range s.Attempts {
		attempt.Key, s.Arrivals[i].Tenant = largeKey, large
	}
}

// serveWith adds a request with a key that came to a server in the name of a tenant.
func (s *scenario) serveWith(key, tenant string, at Time) (*Attempt, *Arrival) {
	t, a := s.serve("/mail/2", "mailer", at)
	t.Key, a.Tenant = key, tenant
	return t, a
}

// servePublic adds a request on the public route that came to a server in the name of a tenant.
func (s *scenario) servePublic(key, tenant string) *Arrival {
	t, a := s.serve(publicPath, "thumbs", 20*second)
	t.Key, a.Tenant = key, tenant
	return a
}

// rejectKey adds n requests with a key that a proxy answered with a status of its own.
func (s *scenario) rejectKey(n, status int, key string, at Time) {
	for range n {
		t, a := s.serveWith(key, "", at)
		t.Status, t.Seal, t.AnswerID = status, "", ""
		a.ID, a.ExecutedAt, a.Seal = "none of "+t.ID, Never, ""
	}
}

// tenantVersion adds a version with tenants that edit changes, which is acknowledged at 15 s.
func (s *scenario) tenantVersion(edit func(c *Config)) *Change {
	c := withTenants(testConfig(5, "mailer"))
	edit(c)
	return s.version(c, 1, 14*second, 15*second, 200)
}

// dropKey takes the second key of the large tenant away.
func dropKey(c *Config) { c.Tenants[0].Keys = []string{largeKey} }

// moveKey moves the second key of the large tenant to the small one.
func moveKey(c *Config) {
	dropKey(c)
	c.Tenants[1].Keys = append(c.Tenants[1].Keys, otherLargeKey)
}

// addNewKey gives the large tenant a third key.
func addNewKey(c *Config) { c.Tenants[0].Keys = append(c.Tenants[0].Keys, "new-key") }

// inTenants returns an edit of evidence with tenants.
func inTenants(edit func(*scenario)) func(*scenario) {
	return func(s *scenario) {
		s.addTenants()
		edit(s)
	}
}

var tenantControls = []control{
	{"tenants and a request with a key", inTenants(func(s *scenario) { s.serveWith(smallKey, small, 20*second) }), ""},
	{"the name of another tenant", inTenants(func(s *scenario) { s.serveWith(largeKey, small, 20*second) }), "UNASKED"},
	{"no name of a tenant", inTenants(func(s *scenario) { s.serveWith(largeKey, "", 20*second) }), "UNASKED"},
	{"the names of two tenants", inTenants(func(s *scenario) { s.serveWith(largeKey, large+","+small, 20*second) }), "UNASKED"},
	{"a key that is passed on", inTenants(func(s *scenario) { _, a := s.serveWith(largeKey, large, 20*second); a.HasKey = true }), "UNASKED"},
	{"a key that is passed on to a server that refuses", inTenants(func(s *scenario) {
		_, a := s.serveWith(largeKey, large, 20*second)
		a.HasKey, a.ExecutedAt, a.Rejected = true, Never, 503
	}), ""},
	{"a key and a tenant's name where there are no tenants", func(s *scenario) {
		_, a := s.serveWith(largeKey, small, 20*second)
		a.HasKey = true
	}, ""},
	{"a forged name on a public route", inTenants(func(s *scenario) { s.servePublic("", large) }), "UNASKED"},
	{"a key that is passed on from a public route", inTenants(func(s *scenario) { s.servePublic(unheldKey, "").HasKey = true }), "UNASKED"},
	{"a public route without a key", inTenants(func(s *scenario) { s.servePublic("", "") }), ""},
	{"a public route with a key that nobody held", inTenants(func(s *scenario) { s.servePublic(unheldKey, "") }), ""},
	{"a public route with a key", inTenants(func(s *scenario) { s.servePublic(smallKey, small) }), ""},
	{"the name of the tenant that had the key before", inTenants(func(s *scenario) {
		s.tenantVersion(moveKey)
		s.serveWith(otherLargeKey, large, 16*second)
	}), ""},

	{"a key that nobody held runs", inTenants(func(s *scenario) { s.serveWith(unheldKey, "", 20*second) }), "ROUTE CONFIG"},
	{"no key runs", inTenants(func(s *scenario) { s.serveWith("", "", 20*second) }), "ROUTE CONFIG"},
	{"a key that nobody held runs by way of a proxy in trouble", inTenants(func(s *scenario) {
		s.RecordFault(Fault{Proxy: oneProxy, Kind: "kill", At: 19 * second})
		s.serveWith(unheldKey, "", 20*second)
	}), "ROUTE"},
	{"keys that nobody held are refused", inTenants(func(s *scenario) { s.rejectKey(20, 401, unheldKey, 20*second) }), ""},
	{"a key of a version that was refused runs", inTenants(func(s *scenario) {
		c := withTenants(testConfig(5, "mailer"))
		addNewKey(c)
		s.version(c, 1, 14*second, Never, 412)
		s.serveWith("new-key", large, 20*second)
	}), "CONFIG"},

	{"a dropped key that still runs", inTenants(func(s *scenario) {
		s.tenantVersion(dropKey)
		s.serveWith(otherLargeKey, large, 20*second)
	}), "CONFIG"},
	{"a dropped key that runs soon after", inTenants(func(s *scenario) {
		s.tenantVersion(dropKey)
		s.serveWith(otherLargeKey, large, 17*second)
	}), ""},
	{"a dropped key that runs by way of a proxy in trouble", inTenants(func(s *scenario) {
		s.tenantVersion(dropKey)
		s.RecordFault(Fault{Proxy: oneProxy, Kind: "kill", At: 17 * second})
		s.serveWith(otherLargeKey, large, 20*second)
	}), ""},
	{"a dropped key that is refused", inTenants(func(s *scenario) {
		s.tenantVersion(dropKey)
		s.rejectKey(6, 401, otherLargeKey, 20*second)
	}), ""},
	{"a 401 after the key has come", inTenants(func(s *scenario) { s.tenantVersion(addNewKey); s.rejectKey(1, 401, "new-key", 20*second) }), "CONFIG"},
	{"a 401 before the key must have come", inTenants(func(s *scenario) { s.tenantVersion(addNewKey); s.rejectKey(1, 401, "new-key", 17*second) }), ""},
	{"a 401 for a key that runs already", inTenants(func(s *scenario) {
		s.tenantVersion(addNewKey)
		s.serveWith("new-key", large, 16*second)
		s.rejectKey(1, 401, "new-key", 17*second)
	}), "CONFIG"},
	{"a key that two tenants share is acknowledged", inTenants(func(s *scenario) {
		s.tenantVersion(func(c *Config) { c.Tenants[1].Keys = append(c.Tenants[1].Keys, largeKey) }).Invalid = true
	}), "CONFIG"},

	{"six keys turned away", inTenants(func(s *scenario) { s.rejectKey(6, 401, largeKey, 20*second) }), "DENIED CONFIG"},
	{"five keys turned away with 403", inTenants(func(s *scenario) { s.rejectKey(5, 403, largeKey, 20*second) }), ""},
	{"eleven keys turned away by a proxy in trouble", inTenants(func(s *scenario) {
		s.RecordFault(Fault{Proxy: oneProxy, Kind: "kill", At: 19 * second})
		s.rejectKey(11, 401, largeKey, 20*second)
	}), "DENIED"},
	{"ten keys turned away by a proxy in trouble", inTenants(func(s *scenario) {
		s.RecordFault(Fault{Proxy: oneProxy, Kind: "kill", At: 19 * second})
		s.rejectKey(10, 401, largeKey, 20*second)
	}), ""},
	{"eleven keys turned away by a proxy in trouble that a version lacks", inTenants(func(s *scenario) {
		s.tenantVersion(dropKey)
		s.RecordFault(Fault{Proxy: oneProxy, Kind: "kill", At: 19 * second})
		s.rejectKey(11, 401, otherLargeKey, 20*second)
	}), ""},

	{"a tenant's request abroad", inTenants(func(s *scenario) {
		s.Read.Tenants[1].Homes = []string{"south"}
		s.serveWith(smallKey, small, 20*second)
	}), "HOME"},
	{"a tenant's request at home", inTenants(func(s *scenario) {
		s.Read.Tenants[1].Homes = []string{"north"}
		s.serveWith(smallKey, small, 20*second)
	}), ""},
	{"a request in the home of its route and abroad for its tenant", inTenants(func(s *scenario) {
		s.Read.Tenants[1].Homes = []string{"south"}
		s.servePublic(smallKey, small)
	}), "HOME"},
}
