package pick

// The proxies share the demands of their prompts in the same map as their loads (Picker.Loads), which carries nothing but Loads by server
// id. This file is the only one that knows how a demand is put into an entry of it: under a key that no server's id equals, with the
// tokens of long prompts as Prefill and those of short ones as Tokens. Entries of one key are summed like all others, so what comes back
// in UpdatePeerLoads is the sum of all peers' demands.

// sharedDemand is the prompt tokens that were prefilled of late for long and for short prompts, as proxies share it: in whole tokens.
type sharedDemand struct {
	Long, Short int64
}

// demandKey names the entry of a service's demand among the loads that proxies share. No server's id begins so.
func demandKey(service string) string { return "\x00demand " + service }

// load is the entry that carries d.
func (d sharedDemand) load() Load { return Load{Prefill: d.Long, Tokens: d.Short} }

// demandOfLoad is the demand that an entry carries.
func demandOfLoad(l Load) sharedDemand { return sharedDemand{Long: l.Prefill, Short: l.Tokens} }

// PromptDemands is the prompt tokens that this proxy had prefilled of late, by keys that no server's id equals. They are shared with the
// loads, and come back summed in UpdatePeerLoads. The map is the caller's.
func (p *Picker) PromptDemands() map[string]Load {
	demands := map[string]Load{}
	for name, g := range p.groups {
		demand := sharedDemand{Long: int64(g.demand.Long), Short: int64(g.demand.Short)}
		if demand != (sharedDemand{}) {
			demands[demandKey(name)] = demand.load()
		}
	}
	return demands
}
