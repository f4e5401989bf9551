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

// The bounds of requests to nodes and proxies.
const (
	maxStatusBytes      = 8 << 20
	maxBackupBytes      = 64 << 20
	statusTimeout       = 2 * time.Second // of one response
	backupTimeout       = 30 * time.Second
	statusPath          = "/status"
	backupPath          = "/backup"
	maxQuotedErrorBytes = 300 // of an error response, when an error quotes it
)

// Client sends requests to control-plane nodes and proxies. The zero Client is ready to use. It is safe for concurrent use.
type Client struct {
	Transport http.RoundTripper // nil: http.DefaultTransport
}

// NodeStatus fetches the status of the node with the control address. Errors are marked ErrUnreachable.
func (c *Client) NodeStatus(ctx context.Context, address string) (*NodeStatus, error) {
	status := &NodeStatus{}
	return status, c.fetchStatus(ctx, address, status, &status.Version)
}

// ProxyStatus fetches the status of the proxy with the internal address. Errors are marked ErrUnreachable.
func (c *Client) ProxyStatus(ctx context.Context, address string) (*ProxyStatus, error) {
	status := &ProxyStatus{}
	return status, c.fetchStatus(ctx, address, status, &status.Version)
}

// fetchStatus fetches a status, decodes it, and checks its version, which the decoding sets.
func (c *Client) fetchStatus(ctx context.Context, address string, into any, version *int) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	data, err := c.get(ctx, address, statusPath, maxStatusBytes)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return unreachableError(err, "%s answers no status: check that the address is the control address of a keeper, or the inner one of a proxy", address)
	}
	if *version > Version {
		return unreachableError(nil, "%s answers a status of version %d, known here are those up to %d: run a newer gradeusher", address, *version, Version)
	}
	return nil
}

// get fetches a document of at most maxBytes. Errors are marked ErrUnreachable.
func (c *Client) get(ctx context.Context, address, path string, maxBytes int64) ([]byte, error) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return nil, unreachableError(err, "%q is no address: give IP:PORT", address)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, unreachableError(err, "%q is no address: give IP:PORT", address)
	}
	client := http.Client{Transport: c.Transport, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse // a redirect would yield the response of another process
	}}
	response, err := client.Do(request)
	if err != nil {
		return nil, unreachableError(err, "%s does not answer: check that it runs and can be reached from here", address)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxBytes+1))
	switch {
	case err != nil:
		return nil, unreachableError(err, "the answer of %s broke off: ask again", address)
	case response.StatusCode != http.StatusOK:
		return nil, unreachableError(nil, "%s answers %s to %s: %s", address, response.Status, path, data[:min(len(data), maxQuotedErrorBytes)])
	case int64(len(data)) > maxBytes:
		return nil, unreachableError(nil, "the answer of %s is longer than %d bytes: check that the address is right", address, maxBytes)
	}
	return data, nil
}

// unreachableError wraps err, or creates a new error if err is nil, and marks it as ErrUnreachable.
func unreachableError(err error, format string, args ...any) error {
	if err == nil {
		return errors.Mark(errors.Newf(format, args...), ErrUnreachable)
	}
	return errors.Mark(errors.Wrapf(err, format, args...), ErrUnreachable)
}
