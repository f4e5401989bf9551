package failuredetector

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// AlivePath is the HTTP path at which a process answers probes.
const AlivePath = "/failuredetector/alive"

const maxAliveBytes = 4 << 10 // of a response

// errOtherNode is returned if another node, or another program, responds at the address of the probed node.
var errOtherNode = errors.New("failuredetector: another node responds at this address: wait for the membership list to be updated")

// Handler serves GET AlivePath, the second path.
func (a *Agent) Handler() http.Handler {
	body, _ := json.Marshal(aliveResponse{Node: a.options.Self, Incarnation: a.options.Incarnation}) // cannot fail for strings and numbers
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			w.WriteHeader(http.StatusMethodNotAllowed)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(body)
	})
}

// aliveResponse is the body of the response to GET AlivePath.
type aliveResponse struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation,string"` // as a string, since some decoders read JSON numbers as floating point
}

// requestIncarnation probes a node over the second path and returns the incarnation of its process. It fails if the node does
// not respond in time, or if another node now uses its address.
func (a *Agent) requestIncarnation(ctx context.Context, node string, addr netip.AddrPort) (uint64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+AlivePath, nil)
	if err != nil {
		return 0, errors.Wrapf(err, "failuredetector: address %s of node %s does not form a valid URL", addr, node)
	}
	response, err := a.client.Do(request)
	if err != nil {
		return 0, errors.Wrapf(err, "failuredetector: node %s cannot be reached at %s", node, addr)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAliveBytes))
	if err != nil {
		return 0, errors.Wrapf(err, "failuredetector: response of node %s at %s was truncated", node, addr)
	}
	var process aliveResponse
	err = json.Unmarshal(data, &process)
	if err != nil || response.StatusCode != http.StatusOK || process.Node != node {
		return 0, errors.Wrapf(errOtherNode, "%s at %s", node, addr)
	}
	return process.Incarnation, nil
}
