package quotarpc

import (
	"net/http"

	"gradeusher.example/gradeusher/internal/system/distribution/rpc"
)

// maxIdleConns is the maximum number of idle connections of a proxy to limiters: two to each proxy of a large zone.
const maxIdleConns = 64

// NewTransport returns the transport for a proxy's calls to limiters and the allocator.
func NewTransport() *http.Transport {
	transport := rpc.NewTransport()
	transport.MaxIdleConns = maxIdleConns
	return transport
}
