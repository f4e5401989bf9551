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

func (f *Fleet) startHosts() error {
	experiment := f.plan
	count := experiment.Hosts()
	for i := range count {
		name := fmt.Sprintf("servers-%d", i)
		args := []string{"host", "--groups", strconv.Itoa(experiment.Groups()), "--records", f.records(recordsOfAttempts, i)}
		if f.registry != nil {
			args = append(args, "--keepers", strings.Join(f.registryAddresses(experiment.NearHost(i)), ","), "--lease", plan.Seconds(experiment.File.Registry.LeaseS).String())
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
		e, _, err := f.addServer(experiment.Servers[i].UID, experiment.File.Fleet.Start == plan.StartCold)
		if err != nil {
			return err
		}
		f.known = append(f.known, e)
	}
	return nil
}

// addServer starts a server and keeps what the list will say of it.
func (f *Fleet) addServer(uid string, cold bool) (ctl.Entry, ctl.Event, error) {
	spec := f.specs[uid]
	n, err := f.host[uid].order(ctl.Order{Do: ctl.CommandAdd, Spec: spec, Cold: cold})
	if err != nil {
		return ctl.Entry{}, n, err
	}
	e := ctl.Entry{UID: uid, Ports: n.Ports, Zone: spec.Zone, Kind: spec.Kind, State: string(list.Serving), BootMS: n.BootMS, Size: spec.SizeHint()}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries[uid] = e
	return e, n, nil
}

// SidecarLines describe the sidecars.
func (f *Fleet) SidecarLines() []string {
	var lines []string
	for i, a := range f.Addresses() {
		lines = append(lines, fmt.Sprintf("http://%s in %s", a, f.plan.Sidecars[i].Zone))
	}
	return lines
}

// ServerLines describe the servers at the start, each with its address for the first sidecar.
func (f *Fleet) ServerLines() []string {
	var lines []string
	for _, e := range f.known {
		spec := f.specs[e.UID]
		lines = append(lines, fmt.Sprintf("%s at %s:%d in %s, %s, %d cores of %.2f", e.UID, link.Near(0), e.Ports[f.plan.Sidecars[0].Group], e.Zone,
			e.Kind, spec.Cores, spec.Speed))
	}
	return lines
}
