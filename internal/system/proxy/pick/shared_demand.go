package pick

// The proxies share the demands of their prompts in the same map as their loads (Picker.Loads), which carries nothing but Loads by server
// id. This file is the only one that knows how a demand is put into an entry of it: under a key that no server's id equals, with the
// tokens of long prompts as Prefill and those of short ones as Tokens. Entries of one key are summed like all others, so what comes back
// in UpdatePeerLoads is the sum of all peers' demands.

// SharedDemand is the prompt tokens that were prefilled of late for long and for short prompts, as proxies share it: in whole tokens.
type SharedDemand struct {
	Long, Short int64
}

// SharedDemands are the shared demands by service.
type SharedDemands map[string]SharedDemand

// AddTo adds an entry for each demand to loads, the map in which proxies share them.
func (d SharedDemands) AddTo(loads map[string]Load) {
	for service, demand := range d {
		loads[demandKey(service)] = demand.load()
	}
}

// demandKey names the entry of a service's demand among the loads that proxies share. No server's id begins so.
func demandKey(service string) string { return "\x00demand " + service }

// load is the entry that carries d.
func (d SharedDemand) load() Load { return Load{Prefill: d.Long, Tokens: d.Short} }

// demandOfLoad is the demand that an entry carries.
func demandOfLoad(l Load) SharedDemand { return SharedDemand{Long: l.Prefill, Short: l.Tokens} }

// PromptDemands returns the demands that this proxy had of late, without services that had none. They are shared with the loads, and come
// back summed in UpdatePeerLoads.
func (p *Picker) PromptDemands() SharedDemands {
	demands := SharedDemands{}
	for service, g := range p.groups {
		demand := SharedDemand{Long: int64(g.demand.Long), Short: int64(g.demand.Short)}
		if demand != (SharedDemand{}) {
			demands[service] = demand
		}
	}
	return demands
}
