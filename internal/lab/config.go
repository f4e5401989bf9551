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
func sidecarConfig(experiment *plan.Plan, index int, listen, discovery string, seed uint64, known []ctl.Entry, registryAddresses []string, members map[string]any) ([]byte, error) {
	type object = map[string]any
	file := experiment.File
	planned := experiment.Sidecars[index]
	var classes []object
	for _, c := range file.Classes {
		effect := "at_most_once"
		if c.Safe {
			effect = "idempotent"
		}
		classes = append(classes, object{"name": c.Name, "effect": effect, "aim_s": c.AimMS / 1000, "deadline_s": c.GiveUpMS / 1000,
			"credit": c.Worth, "late_value": c.LateWorth, "group": "all", "window_s": 5, "stream": false})
	}
	var models []string
	for _, k := range file.Kinds {
		models = append(models, k.Name)
	}
	config := object{
		"name": planned.Name, "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%016x", seed),
		"limits": object{"cores": 1, "memory_mb": file.Fleet.MemoryMB, "sockets": file.Fleet.Sockets},
		"known":  json.RawMessage(standin.EncodeList(index, planned.Group, int64(len(known)), true, known)),
		"settings": object{
			"ordinal": index, "peers_total": planned.Peers, "my_zone": planned.Zone, "areas": file.Fleet.Zones, "models": models,
			"discovery": "pushed", "domain_type": "mesh", "tier": 0, "tiers": []string{"rec-api"}, "worth_by": "work", "tenants": []string{},
			"feedback":        object{"how": "piggyback", "names": []string{"concurrent", "depth", "err_ps"}},
			"request_classes": classes,
			"limits": object{"try_limit": 3, "cancelling": true, "probes": true, "peer_messages": false, "second_copies": false,
				"connect_timeout_s": 0.25, "idle_close_s": 10, "streams_per_conn": 1, "max_retry_after_s": 1, "retry_after": file.Load.Retries},
			"rules": object{"cold_s": 24, "fall_multiple": 3, "fall_s": 1.5, "must_ask_in_s": 10, "start_capacity": 0.14,
				"stop_sending_within_s": 0.3, "answer_slack_s": 0.02},
			"charges": object{"cross_zone": 0.024, "handshake": 0.08, "late_fail": 0.085, "probe": 0.01, "waste": 0.25},
		},
	}
	if _, set := file.Config["hitters"]; file.Hitters.On && !set {
		high, low := file.Hitters.Bars()
		config["hitters"] = object{"bars": []float64{high, low}}
	}
	if len(registryAddresses) > 0 {
		delete(config, "known") // the registry publishes it
		of := object{"addresses": registryAddresses, "reach": link.Near(index).String(), "doubt_share": file.Keepers.DoubtShare, "most_age_s": file.Keepers.MostAgeS}
		routesConfig(experiment, index, of)
		config["keepers"] = of
	}
	if members != nil {
		config["members"] = members
	}
	for key, v := range file.Config {
		if _, own := config[key]; own {
			return nil, fmt.Errorf("configuration of %s: the lab tells %s by itself", planned.Name, key)
		}
		config[key] = v
	}
	text, err := json.Marshal(config)
	if err != nil {
		return nil, fmt.Errorf("configuration of %s: %w", planned.Name, err)
	}
	return text, nil
}
