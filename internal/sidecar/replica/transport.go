package replica

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"strings"
	"time"

	"github.com/hashicorp/raft"
)

// streamLayer is raft's sockets. It dials from the host at which the replica listens, so that a peer, or a firewall, knows who calls.
type streamLayer struct {
	net.Listener
	localIP   net.IP
	advertise net.Addr
}

// newStreamLayer listens at an address. A port of 0 in the advertised address stands for the port of the listener.
func newStreamLayer(bind, advertise string) (*streamLayer, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", bind)
	if err != nil {
		return nil, err
	}
	advertised, err := net.ResolveTCPAddr("tcp", advertise)
	if err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	own := listener.Addr().(*net.TCPAddr)
	if advertised.Port == 0 {
		advertised.Port = own.Port
	}
	return &streamLayer{Listener: listener, localIP: own.IP, advertise: advertised}, nil
}

// Addr implements net.Listener.
func (l *streamLayer) Addr() net.Addr { return l.advertise }

// Dial implements raft.StreamLayer.
func (l *streamLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	if !l.localIP.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: l.localIP}
	}
	return dialer.DialContext(context.Background(), "tcp", string(address))
}

// logWriter writes raft's log lines, "[LEVEL] text", to the node's log. Raft's INFO is the node's Debug.
type logWriter struct{ log *slog.Logger }

// Write implements io.Writer.
func (w logWriter) Write(line []byte) (int, error) {
	level, text, _ := strings.Cut(strings.TrimPrefix(strings.TrimSpace(string(line)), "["), "]")
	text = strings.TrimSpace(text)
	switch level {
	case "ERROR":
		w.log.Error(text)
	case "WARN":
		w.log.Warn(text)
	default:
		w.log.Debug(text)
	}
	return len(line), nil
}
