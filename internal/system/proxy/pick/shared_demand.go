package pick

// The proxies share the demands of their prompts in the same map as their loads (Picker.Loads), which can only
// carry Loads by server id. Only this file knows how a demand is encoded as an entry of that map: under a key that
// cannot be a server id, with the tokens of long prompts as Prefill and those of short prompts as Tokens. Entries
// with the same key are summed like all others, so UpdatePeerLoads receives the sum of all peers' demands.

// SharedDemand is how many prompt tokens were recently prefilled for long
// and for short prompts, as shared between proxies: in whole tokens.
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

// demandKey returns the key of a service's demand in the map of shared loads. No server id starts like this.
func demandKey(service string) string { return "\x00demand " + service }

// load encodes d as an entry of the map of shared loads.
func (d SharedDemand) load() Load { return Load{Prefill: d.Long, Tokens: d.Short} }

// demandFromLoad decodes a demand from an entry of the map of shared loads.
func demandFromLoad(l Load) SharedDemand { return SharedDemand{Long: l.Prefill, Short: l.Tokens} }

// PromptDemands returns the recent demands at this proxy, without services that had none.
// They are shared together with the loads, and their sum comes back in UpdatePeerLoads.
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
