package replica

import (
	"errors"
	"log/slog"
	"net"
	"strings"
	"time"

	"github.com/hashicorp/raft"
)

// layer is raft's sockets. Calls go out from the host that this replica listens at, so that a peer, or a firewall, knows who calls.
type layer struct {
	net.Listener
	from      net.IP
	advertise net.Addr
}

func newLayer(bind, advertise string) (*layer, error) {
	l, err := net.Listen("tcp", bind)
	if err != nil {
		return nil, err
	}
	at, err := net.ResolveTCPAddr("tcp", advertise)
	if err != nil {
		return nil, errors.Join(err, l.Close())
	}
	own := l.Addr().(*net.TCPAddr)
	if at.Port == 0 {
		at.Port = own.Port
	}
	return &layer{l, own.IP, at}, nil
}

func (l *layer) Addr() net.Addr { return l.advertise }

func (l *layer) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	if !l.from.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: l.from}
	}
	return d.Dial("tcp", string(to))
}

// logWriter hands what raft logs to the keeper's log.
type logWriter struct{ log *slog.Logger }

func (w logWriter) Write(p []byte) (int, error) {
	text := strings.TrimSpace(string(p))
	level, rest, _ := strings.Cut(strings.TrimPrefix(text, "["), "]")
	switch level {
	case "ERROR":
		w.log.Error(strings.TrimSpace(rest))
	case "WARN":
		w.log.Warn(strings.TrimSpace(rest))
	default:
		w.log.Debug(strings.TrimSpace(rest))
	}
	return len(p), nil
}
