package testcluster

import "math/rand/v2"

// Caller is how some of the clients that send a kind of request say who they are.
type Caller struct {
	Weight       int    // how often it sends, relative to the sum of all weights
	Key          string // X-Credential; empty: none is sent
	ForgedTenant string // X-Tenant, which only the system may set; empty: none is sent
}

// headers returns the header fields by which the caller says who it is.
func (c Caller) headers() (fields []headerField) {
	if c.Key != "" {
		fields = append(fields, headerField{"X-Credential", c.Key})
	}
	if c.ForgedTenant != "" {
		fields = append(fields, headerField{"X-Tenant", c.ForgedTenant})
	}
	return fields
}

// drawCaller draws a caller by the weights, and the zero Caller from none.
func drawCaller(callers []Caller, rng *rand.Rand) Caller {
	sum := 0
	for _, caller := range callers {
		sum += caller.Weight
	}
	if sum == 0 {
		return Caller{}
	}
	i := 0
	for n := rng.IntN(sum); n >= callers[i].Weight; i++ {
		n -= callers[i].Weight
	}
	return callers[i]
}
