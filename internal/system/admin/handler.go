package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

// ProxyHandler serves GET /status with the JSON of the ProxyStatus that status returns. Serve it on the proxy's internal address.
func ProxyHandler(status func() any) http.Handler {
	return allowOnlyReads(func(w http.ResponseWriter, _ *http.Request) {
		data, err := json.Marshal(status())
		if err != nil {
			http.Error(w, "the status cannot be written as JSON: report it", http.StatusInternalServerError)
			return
		}
		writeBody(w, "application/json", data)
	})
}

// BackupHandler serves GET /backup with the encoding of the state that read returns, which must contain all changes that were
// acknowledged before the call. Serve it on a node's control address.
func BackupHandler(read func(ctx context.Context) (*controlstate.State, error)) http.Handler {
	return allowOnlyReads(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
		defer cancel()
		s, err := read(ctx)
		if err != nil || s == nil {
			w.Header().Set("Retry-After", "1")
			http.Error(w, "the newest state could not be confirmed in time: ask again, or another keeper", http.StatusServiceUnavailable)
			return
		}
		writeBody(w, "application/octet-stream", s.Encode())
	})
}

// allowOnlyReads rejects requests other than GET and HEAD.
func allowOnlyReads(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet && r.Method != http.MethodHead {
			w.Header().Set("Allow", "GET, HEAD")
			http.Error(w, "this is read with GET", http.StatusMethodNotAllowed)
			return
		}
		next(w, r)
	})
}

// writeBody writes a complete response with the given media type.
func writeBody(w http.ResponseWriter, kind string, data []byte) {
	w.Header().Set("Content-Type", kind)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write(data)
}
