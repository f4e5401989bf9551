package lab

import (
	"encoding/json"
	"fmt"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/link"
	"gradeusher.example/gradeusher/internal/lab/plan"
	"gradeusher.example/gradeusher/internal/lab/standin"
)

// sidecarConfig is the file that PROXY_CONFIG of a sidecar names (DEPLOY, "What a sidecar is told"), with the settings by
// their names on the wire (WIRE).
func sidecarConfig(p *plan.Plan, i int, listen, discovery string, seed uint64, known []ctl.Entry, keepers []string, members map[string]any) ([]byte, error) {
	type object = map[string]any
	f := p.File
	s := p.Sidecars[i]
	var classes []object
	for _, c := range f.Classes {
		effect := "at_most_once"
		if c.Safe {
			effect = "idempotent"
		}
		classes = append(classes, object{"name": c.Name, "effect": effect, "aim_s": c.AimMS / 1000, "deadline_s": c.GiveUpMS / 1000,
			"credit": c.Worth, "late_value": c.LateWorth, "group": "all", "window_s": 5, "stream": false})
	}
	var models []string
	for _, k := range f.Kinds {
		models = append(models, k.Name)
	}
	whole := object{
		"name": s.Name, "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%016x", seed),
		"limits": object{"cores": 1, "memory_mb": f.Fleet.MemoryMB, "sockets": f.Fleet.Sockets},
		"known":  json.RawMessage(standin.EncodeList(i, s.Group, int64(len(known)), true, known)),
		"settings": object{
			"ordinal": i, "peers_total": s.Peers, "my_zone": s.Zone, "areas": f.Fleet.Zones, "models": models,
			"discovery": "pushed", "domain_type": "mesh", "tier": 0, "tiers": []string{"rec-api"}, "worth_by": "work", "tenants": []string{},
			"feedback":        object{"how": "piggyback", "names": []string{"concurrent", "depth", "err_ps"}},
			"request_classes": classes,
			"limits": object{"try_limit": 3, "cancelling": true, "probes": true, "peer_messages": false, "second_copies": false,
				"connect_timeout_s": 0.25, "idle_close_s": 10, "streams_per_conn": 1, "max_retry_after_s": 1, "retry_after": f.Load.Retries},
			"rules": object{"cold_s": 24, "fall_multiple": 3, "fall_s": 1.5, "must_ask_in_s": 10, "start_capacity": 0.14,
				"stop_sending_within_s": 0.3, "answer_slack_s": 0.02},
			"charges": object{"cross_zone": 0.024, "handshake": 0.08, "late_fail": 0.085, "probe": 0.01, "waste": 0.25},
		},
	}
	if _, told := f.Config["hitters"]; f.Hitters.On && !told {
		high, low := f.Hitters.Bars()
		whole["hitters"] = object{"bars": []float64{high, low}}
	}
	if len(keepers) > 0 {
		delete(whole, "known") // they tell it
		of := object{"addresses": keepers, "reach": link.Near(i).String(), "doubt_share": f.Keepers.DoubtShare, "most_age_s": f.Keepers.MostAgeS}
		routesConfig(p, i, of)
		whole["keepers"] = of
	}
	if members != nil {
		whole["members"] = members
	}
	for key, v := range f.Config {
		if _, own := whole[key]; own {
			return nil, fmt.Errorf("configuration of %s: the lab tells %s by itself", s.Name, key)
		}
		whole[key] = v
	}
	text, err := json.Marshal(whole)
	if err != nil {
		return nil, fmt.Errorf("configuration of %s: %w", s.Name, err)
	}
	return text, nil
}
