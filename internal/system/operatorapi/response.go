package operatorapi

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// writeError writes a JSON object with the reason, which names the remedy, under "error".
func writeError(w http.ResponseWriter, status int, reason string) {
	writeJSON(w, status, map[string]any{"error": reason})
}

// writeUnavailable writes a 503, after which callers try another control-plane node.
func writeUnavailable(w http.ResponseWriter, reason string) {
	w.Header().Set("Retry-After", "0.2")
	writeError(w, http.StatusServiceUnavailable, reason)
}

// writeJSON writes a body as JSON.
func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"error":"the answer cannot be written as JSON: report it"}`)
	}
	setResponseHeaders(w, len(data))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// writeBodyTooLarge writes a 413.
func writeBodyTooLarge(w http.ResponseWriter) {
	closeConnection(w)
	writeError(w, http.StatusRequestEntityTooLarge,
		"the body has more than "+strconv.Itoa(maxBodyBytes)+" bytes: send the change in parts with POST /Config.Amend")
}

// setResponseHeaders sets the headers that all responses share; length is the length of the body in bytes.
func setResponseHeaders(w http.ResponseWriter, length int) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(length))
	w.Header().Set("Cache-Control", "no-store")
}

// closeConnection closes the connection after the response, so that the rest of a body is never parsed as a request.
func closeConnection(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
}
