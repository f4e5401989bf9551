package members

import (
	"errors"
	"log/slog"
	"syscall"

	"github.com/hashicorp/memberlist"
)

// errInUse is joined to the error of listening at an address that another process, such as the earlier one of an upgrade, listens at.
var errInUse = errors.New("the address is in use")

// listen opens the sockets and starts memberlist on them.
func (m *Members) listen() error {
	host, port, err := splitAddress(m.options.Listen)
	if err != nil {
		return err
	}
	logger := slog.NewLogLogger(m.options.Log.Handler(), slog.LevelDebug)
	t, err := newTransport(host, port, m.options.Reach, m.options.knobs.DropPacket)
	if errors.Is(err, syscall.EADDRINUSE) {
		return errors.Join(errInUse, err)
	} else if err != nil {
		return err
	}
	config := memberlist.DefaultLANConfig()
	config.Name, config.Transport, config.Logger, config.Label = m.ownNode, t, logger, label
	config.BindAddr, config.BindPort = host, t.port()
	config.AdvertiseAddr, config.AdvertisePort = host, config.BindPort
	if m.options.Advertise != "" {
		if config.AdvertiseAddr, config.AdvertisePort, err = splitAddress(m.options.Advertise); err != nil {
			return errors.Join(err, t.Shutdown())
		}
	}
	config.Delegate, config.Events = m, m
	config.ProbeInterval, config.ProbeTimeout, config.SuspicionMult = probeInterval, probeTimeout, suspicionMult
	config.GossipInterval, config.GossipNodes, config.GossipToTheDeadTime = gossipInterval, gossipNodes, gossipToDeadTime
	config.PushPullInterval, config.TCPTimeout = pushPullInterval, streamTimeout
	config.EnableCompression = false // packets are small
	m.mu.Lock()
	m.transport = t
	m.mu.Unlock()
	list, err := memberlist.Create(config)
	if err != nil {
		return errors.Join(err, t.Shutdown())
	}
	m.mu.Lock()
	m.list = list
	m.mu.Unlock()
	close(m.listening)
	m.options.Log.Info("members", "listening", m.Address(), "name", m.options.Name)
	return nil
}
