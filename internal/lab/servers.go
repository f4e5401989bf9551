package lab

import (
	"fmt"
	"strconv"
	"strings"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/link"
	"gradeusher.example/gradeusher/internal/lab/plan"
	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// startHosts starts the processes of stand-in servers, distributes all servers of the plan over them, and starts those of the start.
func (f *Fleet) startHosts() error {
	experiment := f.plan
	count := experiment.Hosts()
	for index := range count {
		name := fmt.Sprintf("servers-%d", index)
		args := []string{"host", "--groups", strconv.Itoa(experiment.Groups()), "--records", f.records(recordsOfAttempts, index)}
		if f.registry != nil {
			args = append(args, "--keepers", strings.Join(f.registryAddresses(experiment.NearHost(index)), ","),
				"--lease", plan.Seconds(experiment.File.Registry.LeaseS).String())
		}
		started, err := f.startStandIn(name, args)
		if err != nil {
			return err
		}
		f.hosts = append(f.hosts, started)
	}
	for i := range experiment.Servers {
		f.host[experiment.Servers[i].UID] = f.hosts[i%count]
	}
	for i := range experiment.InitialServers {
		entry, _, err := f.addServer(experiment.Servers[i].UID, experiment.File.Fleet.Start == plan.StartCold)
		if err != nil {
			return err
		}
		f.known = append(f.known, entry)
	}
	return nil
}

// addServer starts a server and keeps the entry that the list will publish of it. It returns both the entry and the acknowledgement.
func (f *Fleet) addServer(uid string, cold bool) (entry ctl.Entry, event ctl.Event, err error) {
	spec := f.specs[uid]
	event, err = f.host[uid].order(ctl.Order{Do: ctl.CommandAdd, Spec: spec, Cold: cold})
	if err != nil {
		return ctl.Entry{}, event, err
	}
	entry = ctl.Entry{UID: uid, Ports: event.Ports, Zone: spec.Zone, Kind: spec.Kind, State: string(list.Serving), BootMS: event.BootMS, Size: spec.SizeHint()}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries[uid] = entry
	return entry, event, nil
}

// SidecarLines describe the sidecars to a person, one line each.
func (f *Fleet) SidecarLines() []string {
	var lines []string
	for index, address := range f.Addresses() {
		lines = append(lines, fmt.Sprintf("http://%s in %s", address, f.plan.Sidecars[index].Zone))
	}
	return lines
}

// ServerLines describe the servers of the start to a person, one line each, with their addresses for the first sidecar.
func (f *Fleet) ServerLines() []string {
	var lines []string
	for _, entry := range f.known {
		spec := f.specs[entry.UID]
		lines = append(lines, fmt.Sprintf("%s at %s:%d in %s, %s, %d cores of %.2f", entry.UID, link.Near(0), entry.Ports[f.plan.Sidecars[0].Group],
			entry.Zone, entry.Kind, spec.Cores, spec.Speed))
	}
	return lines
}
