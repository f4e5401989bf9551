package framing

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// limitedConn is a connection that accepts only so many bytes.
type limitedConn struct {
	net.Conn
	capacity int
}

func (c *limitedConn) Write(p []byte) (int, error) {
	n := min(c.capacity, len(p))
	c.capacity -= n
	if n < len(p) {
		return n, errors.New("broken pipe")
	}
	return n, nil
}

// SetWriteDeadline implements net.Conn.
func (c *limitedConn) SetWriteDeadline(time.Time) error { return nil }

// TestWritten has a connection accept a first write and only part of a second one.
func TestWritten(t *testing.T) {
	c := NewServerConn(&limitedConn{capacity: 6}, 1<<10)
	for _, want := range []struct {
		written int64
		short   bool
	}{{4, false}, {6, true}} {
		_, _ = io.WriteString(c, "skip")
		if written, short := c.Written(); written != want.written || short != want.short {
			t.Errorf("%d bytes, short %v, want %+v", written, short, want)
		}
	}
}
