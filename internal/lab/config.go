package lab

import (
	"encoding/json"
	"fmt"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/link"
	"gradeusher.example/gradeusher/internal/lab/plan"
	"gradeusher.example/gradeusher/internal/lab/standin"
)

// sidecarEnvironment is what a sidecar's configuration says of the processes around it.
type sidecarEnvironment struct {
	listen            string         // address at which clients reach it
	discovery         string         // address of the list; "": the registry has it
	seed              uint64         // of its own draws
	known             []ctl.Entry    // the list at the start of the fleet
	registryAddresses []string       // none: there is no registry
	members           map[string]any // nil: sidecars do not know each other
}

// sidecarConfig encodes the file that PROXY_CONFIG of the sidecar index names (DEPLOY, "What a sidecar is told"), with the settings
// by their names on the wire (WIRE). It fails with a *SettingError where the plan's own settings contain one that the
// lab sets.
func sidecarConfig(experiment *plan.Plan, index int, environment *sidecarEnvironment) ([]byte, error) {
	type object = map[string]any
	file := experiment.File
	planned := experiment.Sidecars[index]
	var classes []object
	for _, class := range file.Classes {
		effect := "at_most_once"
		if class.Safe {
			effect = "idempotent"
		}
		classes = append(classes, object{"name": class.Name, "effect": effect, "aim_s": class.LatencyTargetMS / 1000, "deadline_s": class.GiveUpMS / 1000,
			"credit": class.Value, "late_value": class.LateValue, "group": "all", "window_s": 5, "stream": false})
	}
	var models []string
	for _, kind := range file.Kinds {
		models = append(models, kind.Name)
	}
	config := object{
		"name": planned.Name, "listen": environment.listen, "discovery": environment.discovery,
		"seed":   fmt.Sprintf("%016x", environment.seed),
		"limits": object{"cores": 1, "memory_mb": file.Fleet.MemoryMB, "sockets": file.Fleet.Sockets},
		"known":  json.RawMessage(standin.EncodeList(index, planned.Group, int64(len(environment.known)), true, environment.known)),
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
		high, low := file.Hitters.Thresholds()
		config["hitters"] = object{"bars": []float64{high, low}}
	}
	if len(environment.registryAddresses) > 0 {
		delete(config, "known") // the registry publishes it
		registry := object{"addresses": environment.registryAddresses, "reach": link.Near(index).String(),
			"doubt_share": file.Registry.MaxRemovalShare, "most_age_s": file.Registry.MaxStalenessS}
		routesConfig(experiment, index, registry)
		config["keepers"] = registry
	}
	if environment.members != nil {
		config["members"] = environment.members
	}
	for key, value := range file.Config {
		if _, own := config[key]; own {
			return nil, &SettingError{Sidecar: planned.Name, Setting: key}
		}
		config[key] = value
	}
	text, err := json.Marshal(config)
	if err != nil {
		return nil, fmt.Errorf("configuration of %s: %w", planned.Name, err)
	}
	return text, nil
}
