package settings

import (
	"net/netip"

	"github.com/cockroachdb/errors"
)

// validate rejects settings with which a role cannot work.
func (s *Settings) validate(role Role) error {
	for _, check := range []func() error{
		s.checkLocation,
		s.checkPorts,
		s.checkSeeds,
		s.checkBounds,
		func() error { return s.checkListenAddresses(role) },
		s.checkPlatformAddress,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkLocation() error {
	switch {
	case s.Node == "":
		return errors.New("node_name is empty: give the machine's name")
	case s.Zone == "" || s.Region == "":
		return errors.New("zone or region is empty: name both")
	case s.Zones[s.Zone] != "" && s.Zones[s.Zone] != s.Region:
		return errors.Newf("zones puts %s in %s and region says %s: make them agree", s.Zone, s.Zones[s.Zone], s.Region)
	}
	if address, err := netip.ParseAddr(s.IP); err != nil || !address.Is4() {
		return errors.Newf("ip %q is no IPv4 address: give the machine's own", s.IP)
	}
	return nil
}

func (s *Settings) checkPorts() error {
	if !hasPorts(s.Ports) {
		return errors.Newf("port_range %v does not hold %d ports: give the first and the last", s.Ports, portsNeeded)
	}
	return nil
}

// hasPorts reports whether a range, given as its first and last port, is valid and contains at least portsNeeded ports.
func hasPorts(ports []int) bool {
	if len(ports) != 2 {
		return false
	}
	first, last := ports[0], ports[1]
	return first >= 1 && last <= maxPort && last-first+1 >= portsNeeded
}

func (s *Settings) checkSeeds() error {
	if len(s.Seeds) == 0 {
		return errors.New("seed_nodes is empty: name one keeper's control_api address at least")
	}
	for _, seed := range s.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			return errors.Newf("seed_nodes holds %q, which is no IP:PORT: correct it", seed)
		}
	}
	return nil
}

// checkListenAddresses checks the addresses that a role listens on. Others may be empty.
func (s *Settings) checkListenAddresses(role Role) error {
	needed := []setting{{"bind.control_api", s.Bind.Control}}
	if role == Proxy {
		needed = []setting{
			{"bind.front", s.Bind.Front},
			{"bind.readiness", s.Bind.Readiness},
			{"bind.directory", s.Bind.Directory},
		}
	}
	for _, address := range needed {
		if _, err := netip.ParseAddrPort(address.value); err != nil {
			return errors.Newf("%s is %q, which is no IP:PORT: the role needs it", address.key, address.value)
		}
	}
	return nil
}

// setting is a key of the file and its value.
type setting struct{ key, value string }

func (s *Settings) checkPlatformAddress() error {
	if _, err := netip.ParseAddrPort(s.Cloud.Address); err != nil {
		return errors.Newf("cloud_api.address is %q, which is no IP:PORT: say where the list of servers is", s.Cloud.Address)
	}
	return nil
}

// checkBounds rejects figures outside the range in which the system works.
func (s *Settings) checkBounds() error {
	for _, figure := range []struct {
		key              string
		value            float64
		minimum, maximum float64
	}{
		{"limits.memory_mb", float64(s.Limits.MemoryMB), 16, 1 << 20},
		{"limits.fd_limit", float64(s.Limits.FileDescriptors), 64, 1 << 24},
		{"limits.disk_mb", float64(s.Limits.DiskMB), 0, 1 << 30},
		{"tolerance.machine_losses", float64(s.Tolerance.Machines), 0, 64},
		{"tolerance.zones", float64(s.Tolerance.Zones), 0, 64},
		{"tolerance.region_losses", float64(s.Tolerance.Regions), 0, 64},
		{"bounds.ack_ms", s.Bounds.AckMS, 100, 600_000},
		{"bounds.grace_s", s.Bounds.GraceSeconds, 0.1, 3600},
		{"bounds.revoke_ms", s.Bounds.RevokeMS, 0, 600_000},
		{"bounds.retry_ratio", s.Bounds.RetryRatio, 0, 100},
		{"bounds.retry_window_s", s.Bounds.RetryWindowSeconds, 0, 3600},
		{"bounds.retry_slack", s.Bounds.RetrySlack, 0, 1e9},
		{"bounds.cold_excess", s.Bounds.ColdExcess, 0, 1e6},
		{"bounds.cold_slack", s.Bounds.ColdSlack, 0, 1e9},
		{"bounds.quota_window_s", s.Bounds.QuotaWindowSeconds, 0, 3600},
		{"bounds.quota_excess", s.Bounds.QuotaExcess, 0, 100},
		{"bounds.quota_slack", s.Bounds.QuotaSlack, 0, 1e9},
		{"cloud_api.rate_per_s", s.Cloud.CallsPerSecond, 0.01, 1e6},
		{"beat_ms", s.HeartbeatMS, 0, 600_000},
	} {
		isWithin := figure.value >= figure.minimum && figure.value <= figure.maximum // false for NaN
		if !isWithin {
			return errors.Newf("%s is %v: give a figure from %v to %v", figure.key, figure.value, figure.minimum, figure.maximum)
		}
	}
	return nil
}
