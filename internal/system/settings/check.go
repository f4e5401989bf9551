package settings

import (
	"net/netip"

	"github.com/cockroachdb/errors"
)

// check refuses settings under which a role could not keep its promises.
func (s *Settings) check(role Role) error {
	switch {
	case s.Node == "":
		return errors.New("node_name is empty: give the machine's name")
	case s.Zone == "" || s.Region == "":
		return errors.New("zone or region is empty: name both")
	case s.Zones[s.Zone] != "" && s.Zones[s.Zone] != s.Region:
		return errors.Newf("zones puts %s in %s and region says %s: make them agree", s.Zone, s.Zones[s.Zone], s.Region)
	}
	if at, err := netip.ParseAddr(s.IP); err != nil || !at.Is4() {
		return errors.Newf("ip %q is no IPv4 address: give the machine's own", s.IP)
	}
	if len(s.Ports) != 2 || s.Ports[0] < 1 || s.Ports[1] > 65535 || s.Ports[1]-s.Ports[0]+1 < needed {
		return errors.Newf("port_range %v does not hold %d ports: give the first and the last", s.Ports, needed)
	}
	if len(s.Seeds) == 0 {
		return errors.New("seed_nodes is empty: name one keeper's control_api address at least")
	}
	for _, seed := range s.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			return errors.Newf("seed_nodes holds %q, which is no IP:PORT: correct it", seed)
		}
	}
	if err := s.checkFigures(); err != nil {
		return err
	}
	need := map[string]string{"bind.control_api": s.Bind.Control}
	if role == Proxy {
		need = map[string]string{"bind.front": s.Bind.Front, "bind.readiness": s.Bind.Readiness,
			"bind.directory": s.Bind.Directory}
	}
	for _, name := range []string{"bind.control_api", "bind.front", "bind.readiness", "bind.directory"} {
		address, is := need[name]
		if _, err := netip.ParseAddrPort(address); is && err != nil {
			return errors.Newf("%s is %q, which is no IP:PORT: the role needs it", name, address)
		}
	}
	if _, err := netip.ParseAddrPort(s.Cloud.Address); err != nil {
		return errors.Newf("cloud_api.address is %q, which is no IP:PORT: say where the list of servers is", s.Cloud.Address)
	}
	return nil
}

func (s *Settings) checkFigures() error {
	for _, f := range []struct {
		name        string
		value       float64
		least, most float64
	}{
		{"limits.memory_mb", float64(s.Limits.MemoryMB), 16, 1 << 20},
		{"limits.fd_limit", float64(s.Limits.FileDescriptors), 64, 1 << 24},
		{"limits.disk_mb", float64(s.Limits.DiskMB), 0, 1 << 30},
		{"tolerance.machine_losses", float64(s.Tolerance.Machines), 0, 64},
		{"tolerance.zones", float64(s.Tolerance.Zones), 0, 64},
		{"tolerance.region_losses", float64(s.Tolerance.Regions), 0, 64},
		{"bounds.ack_ms", s.Bounds.AckMS, 100, 600_000},
		{"bounds.grace_s", s.Bounds.GraceSeconds, 0.1, 3600},
		{"bounds.retry_ratio", s.Bounds.RetryRatio, 0, 100},
		{"bounds.retry_window_s", s.Bounds.RetryWindowSeconds, 0, 3600},
		{"bounds.retry_slack", s.Bounds.RetrySlack, 0, 1e9},
		{"bounds.cold_excess", s.Bounds.ColdExcess, 0, 1e6},
		{"bounds.cold_slack", s.Bounds.ColdSlack, 0, 1e9},
		{"cloud_api.rate_per_s", s.Cloud.CallsPerSecond, 0.01, 1e6},
		{"beat_ms", s.HeartbeatMS, 0, 600_000},
	} {
		if !(f.value >= f.least && f.value <= f.most) { // NaN fits neither
			return errors.Newf("%s is %v: give a figure from %v to %v", f.name, f.value, f.least, f.most)
		}
	}
	return nil
}
