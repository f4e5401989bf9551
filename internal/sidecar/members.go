package sidecar

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"gradeusher.example/gradeusher/balance"
	"gradeusher.example/gradeusher/internal/sidecar/members"
)

// Members configures how a sidecar reaches the other sidecars. Without it, the sidecar is on its own.
type Members struct {
	Listen    string        // IP address and port, for UDP and TCP
	Advertise string        // address at which others reach it; "": Listen
	Join      []string      // hosts and ports of some members
	Reach     string        // IP address at which this machine reaches every member, at the member's port; "": the member's own
	ReportTTL time.Duration // older reports are ignored
}

// membersFile is the format of the file's section on members.
type membersFile struct {
	Listen           string
	Advertise        string
	Join             []string
	Reach            string
	ReportTTLSeconds *float64 `json:"bound_s"`
}

// config validates the section. Addresses in environment, if set, replace the members to join.
func (file *membersFile) config(name, environment string) (*Members, error) {
	if file == nil {
		if environment != "" {
			return nil, errors.New("listen: missing")
		}
		return nil, nil
	}
	m := &Members{Listen: file.Listen, Advertise: file.Advertise, Join: file.Join, Reach: file.Reach}
	if environment != "" {
		m.Join = strings.Split(environment, ",")
	}
	if v := file.ReportTTLSeconds; v != nil {
		if m.ReportTTL = time.Duration(*v * float64(time.Second)); !(*v > 0 && *v <= maxSeconds) {
			return nil, fmt.Errorf("bound_s: %v must be above 0 and at most %d", *v, maxSeconds)
		}
	}
	if _, err := members.New(m.options(name)); err != nil {
		return nil, err
	}
	return m, nil
}

func (m *Members) options(name string) members.Options {
	return members.Options{Name: name, Listen: m.Listen, Advertise: m.Advertise, Join: m.Join, Reach: m.Reach, TTL: m.ReportTTL}
}

// joinMembers makes the host a member until ctx is done. listen maps kinds of updates to their
// handlers, which are called by a single goroutine other than the loop.
func (h *host) joinMembers(ctx context.Context, config *Config, listen map[uint8]func(members.Update)) error {
	options := config.Members.options(config.Name)
	options.Log = slog.New(h.log.Handler())
	options.OnUpdate = func(update members.Update) {
		if handle := listen[update.Kind]; handle != nil {
			handle(update)
		}
	}
	options.OnView = func(v members.View) { h.post(func() { h.updateMembers(v) }) }
	joined, err := members.New(options)
	if err == nil {
		err = joined.Start(ctx)
	}
	if err != nil {
		return fmt.Errorf("members: %w", err)
	}
	h.members, h.fleet.peers, h.fleet.reportTTL = joined, map[string]balance.Peer{}, cmp.Or(config.Members.ReportTTL, members.DefaultTTL)
	h.watchers.Go(func() { h.publishReports(ctx) })
	h.watchers.Go(func() {
		<-ctx.Done()
		joined.Close()
	})
	return nil
}

// membersInfo adds the members to the metrics, if there are any.
func (s *server) membersInfo(text *strings.Builder) {
	if s.host.members != nil {
		v := s.host.members.View()
		fmt.Fprintf(text, "svc.members:%d|g\nsvc.members_epoch:%d|g\nsvc.members_place:%d|g\n", v.Count, v.Epoch, v.Index)
		n := s.host.members.Counts()
		fmt.Fprintf(text, "svc.members_packets_sent:%d|c\nsvc.members_bytes_sent:%d|c\nsvc.members_bytes_received:%d|c\n", n.PacketsSent, n.BytesSent, n.BytesReceived)
		fmt.Fprintf(text, "svc.members_news:%d|c\nsvc.members_news_old:%d|c\nsvc.members_news_bad:%d|c\n", n.Updates, n.Expired, n.Malformed+n.NonMembers)
		fmt.Fprintf(text, "svc.members_listen_errors:%d|c\nsvc.members_left_out:%d|c\n", n.ListenErrors, n.LeftOut)
	}
}
