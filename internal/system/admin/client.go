package admin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	maxStatus   = 8 << 20         // bytes of a status
	maxBackup   = 64 << 20        // bytes of a backup
	statusWait  = 2 * time.Second // for one answer
	backupWait  = 30 * time.Second
	pathStatus  = "/status"
	pathBackup  = "/backup"
	errorExcept = 300 // bytes of a refusal that are shown
)

// Client asks keepers and proxies. The zero Client is ready. It may be used by several goroutines.
type Client struct {
	Transport http.RoundTripper // nil: http.DefaultTransport
}

// NodeStatus asks the keeper with the control address for its status. Errors are marked ErrUnreachable.
func (c *Client) NodeStatus(ctx context.Context, address string) (*NodeStatus, error) {
	s := &NodeStatus{}
	return s, c.status(ctx, address, s, &s.Version)
}

// ProxyStatus asks the proxy with the inner address for its status. Errors are marked ErrUnreachable.
func (c *Client) ProxyStatus(ctx context.Context, address string) (*ProxyStatus, error) {
	s := &ProxyStatus{}
	return s, c.status(ctx, address, s, &s.Version)
}

func (c *Client) status(ctx context.Context, address string, into any, version *int) error {
	ctx, cancel := context.WithTimeout(ctx, statusWait)
	defer cancel()
	data, err := c.get(ctx, address, pathStatus, maxStatus)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return unreached(err, "%s answers no status: check that the address is the control address of a keeper, or the inner one of a proxy", address)
	}
	if *version > Version {
		return unreached(nil, "%s answers a status of version %d, known here are those up to %d: run a newer gradeusher", address, *version, Version)
	}
	return nil
}

// get fetches at most that many bytes.
func (c *Client) get(ctx context.Context, address, path string, most int64) ([]byte, error) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return nil, unreached(err, "%q is no address: give IP:PORT", address)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, unreached(err, "%q is no address: give IP:PORT", address)
	}
	client := http.Client{Transport: c.Transport, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse // another process's answer is not that of the one asked
	}}
	answer, err := client.Do(r)
	if err != nil {
		return nil, unreached(err, "%s does not answer: check that it runs and can be reached from here", address)
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(answer.Body, most+1))
	switch {
	case err != nil:
		return nil, unreached(err, "the answer of %s broke off: ask again", address)
	case answer.StatusCode != http.StatusOK:
		return nil, unreached(nil, "%s answers %s to %s: %s", address, answer.Status, path, data[:min(len(data), errorExcept)])
	case int64(len(data)) > most:
		return nil, unreached(nil, "the answer of %s is longer than %d bytes: check that the address is right", address, most)
	}
	return data, nil
}

func unreached(err error, format string, args ...any) error {
	if err == nil {
		return errors.Mark(errors.Newf(format, args...), ErrUnreachable)
	}
	return errors.Mark(errors.Wrapf(err, format, args...), ErrUnreachable)
}
