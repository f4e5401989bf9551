package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"gradeusher.example/gradeusher/balance/hitters"
	"gradeusher.example/gradeusher/internal/sidecar/members"
)

// kindHitters is the kind of member updates that are reports of package hitters.
const kindHitters uint8 = 1

// Hitters configures how clients are told apart. How heavy clients are detected is part of the Balancer's settings.
type Hitters struct {
	Header string // request header that identifies the client, in canonical form
	Salt   uint64 // salt of the keys: the same in all sidecars, and unknown to clients
}

// hittersFile is the format of the file's section on heavy clients. What is left out gets the default.
type hittersFile struct {
	Header           *string
	Salt             string
	Thresholds       []float64 `json:"Bars"` // the upper, then the lower
	WindowSeconds    *float64  `json:"window_s"`
	SuspicionSeconds *float64  `json:"hold_s"`
	CoolingSeconds   *float64  `json:"cool_s"`
	ReportTTLSeconds *float64  `json:"bound_s"`
}

// config validates the section. The bounds of the detector's settings are checked by package hitters.
func (file *hittersFile) config(name string) (*Hitters, *hitters.Settings, error) {
	if file == nil {
		return nil, nil, nil
	}
	parsed, set := &Hitters{Header: "X-Tenant-Id", Salt: hitters.Key(0, file.Salt)}, hitters.Defaults()
	set.Origin = parsed.origin(name)
	if v := file.Header; v != nil {
		other := func(r rune) bool { return r != '-' && (r < '0' || r > '9') && (r|0x20 < 'a' || r|0x20 > 'z') }
		if *v == "" || strings.ContainsFunc(*v, other) {
			return nil, nil, fmt.Errorf("header: %.64q must consist of letters, digits and -", *v)
		}
		parsed.Header = http.CanonicalHeaderKey(*v)
	}
	if v := file.Thresholds; v != nil {
		if len(v) != 2 {
			return nil, nil, errors.New("bars: must be two shares, the upper and the lower")
		}
		set.HighThreshold, set.LowThreshold = v[0], v[1]
	}
	for _, setting := range []struct {
		name  string
		given *float64
		to    *time.Duration
	}{
		{"window_s", file.WindowSeconds, &set.Window},
		{"hold_s", file.SuspicionSeconds, &set.SuspicionTime},
		{"cool_s", file.CoolingSeconds, &set.CoolingTime},
		{"bound_s", file.ReportTTLSeconds, &set.ReportTTL},
	} {
		if setting.given == nil {
			continue
		}
		if *setting.to = time.Duration(*setting.given * float64(time.Second)); !(*setting.given >= 0 && *setting.given <= maxSeconds) {
			return nil, nil, fmt.Errorf("%s: %v must be from 0 to %d", setting.name, *setting.given, maxSeconds)
		}
	}
	if _, err := hitters.New(&set); err != nil {
		return nil, nil, err
	}
	return parsed, &set, nil
}

// origin returns the key that stands for a sidecar's name in reports.
func (h *Hitters) origin(name string) uint64 { return hitters.Key(h.Salt, name) }

// client identifies the sender of a request by its header: the first one, if there are several.
func (h *Hitters) client(r *http.Request) (key uint64, name string) {
	if h == nil {
		return 0, ""
	}
	name = r.Header.Get(h.Header)
	return hitters.Key(h.Salt, name), name
}

// endHittersWindows ends the windows of the Balancer's heavy hitter detector at each interval until ctx is done.
func (h *host) endHittersWindows(ctx context.Context, window time.Duration) {
	tick := time.NewTicker(window)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			h.post(h.endHittersWindow)
		case <-ctx.Done():
			return
		}
	}
}

// endHittersWindow ends a window, logs the clients whose state has changed, and publishes the report
// to the members. Only the loop calls it.
func (h *host) endHittersWindow() {
	own, changed := h.balancer.HeavyHitters().EndWindow(h.now)
	for _, c := range changed {
		level := slog.LevelDebug
		if c.State == hitters.Heavy || c.State == hitters.Cooling {
			level = slog.LevelInfo
		}
		h.log.Log(h.ctx, level, "client state changed", "state", c.State, "key", fmt.Sprintf("%016x", c.Key), "name", c.Name,
			"share", fmt.Sprintf("%.3f", c.Share), "above", fmt.Sprintf("%.3f", c.ShareError), "keep", fmt.Sprintf("%.3f", c.AdmittedShare))
	}
	if h.members == nil || own.Seq%hitters.ReportInterval(h.members.View().Count) != 0 {
		return
	}
	if err := h.members.Publish(kindHitters, own.Report.Append(nil)); err != nil {
		h.log.Warn("clients: cannot publish the report", "err", err)
	}
}

// receiveHitters returns the handler for the reports of other sidecars. Reports that cannot be parsed are ignored.
func (h *host) receiveHitters(c *Config) func(members.Update) {
	return func(n members.Update) {
		report, err := hitters.ParseReport(n.Payload)
		if err != nil {
			h.log.Debug("clients: cannot decode a report", "origin", n.Origin, "err", err)
			return
		}
		received := hitters.OriginReport{Origin: c.Hitters.origin(n.Origin), Start: n.Start, Seq: n.Seq, Age: n.Age, Report: report}
		h.post(func() { h.balancer.HeavyHitters().Receive(h.now, received) })
	}
}

// hittersInfo adds the heavy clients to the metrics, with their share in thousandths, if they are looked for.
func (s *server) hittersInfo(text *strings.Builder) {
	var heavy []hitters.Client
	var rejected uint64
	if s.config.Hitters == nil || !s.host.ask(func() {
		detector := s.host.balancer.HeavyHitters()
		rejected = detector.Rejected()
		for _, c := range detector.Clients() {
			if c.State == hitters.Heavy {
				heavy = append(heavy, *c)
			}
		}
	}) {
		return
	}
	fmt.Fprintf(text, "svc.gave_way:%d|c\nsvc.heavy_clients:%d|g\n", rejected, len(heavy))
	for _, c := range heavy {
		fmt.Fprintf(text, "svc.heavy_clients.%016x:%d|g\n", c.Key, int(1000*c.Share))
	}
}
