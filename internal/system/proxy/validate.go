package proxy

import (
	"mime"
	"net/http"
)

// validateResponse tells whether a head is that of a server's answer to this request.
func (c *clientRequest) validateResponse(attempt *upstreamAttempt, resp *http.Response) error {
	id, ok := resp.Header[headerAttemptID]
	mismatched := len(id) > 1 || ok && id[0] != c.attemptID
	// Danger: a surplus answer to an earlier request may lie where this one's is due; only its id tells. The first answer on
	// a connection can be no such one.
	mismatched = mismatched || !ok && (!attempt.freshConn || isSuccess(resp.StatusCode))
	mismatched = mismatched && !c.proxy.options.TestingKnobs.SkipAttemptIDCheck
	if isSuccess(resp.StatusCode) {
		_, refused := resp.Header[headerNotExecuted] // a success that did not run: neither is believed
		mismatched = mismatched || refused || resp.Header.Get(headerServerSeal) == "" && !c.proxy.options.TestingKnobs.SkipSealCheck || resp.Header.Get("Content-Encoding") != ""
	}
	if mismatched {
		c.proxy.counters.Mismatch.Add(1)
		return errInvalidResponse
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !attempt.headRequest && !c.proxy.options.TestingKnobs.AcceptUnframed {
		c.proxy.counters.Unframed.Add(1) // its end would be that of the connection, whole or not
		return errInvalidResponse
	}
	return nil
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// promisesNotRun tells whether a status promises that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func isEventStream(resp *http.Response) bool {
	kind, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}
