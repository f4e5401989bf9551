package proxy

import (
	"mime"
	"net/http"
)

// validateResponse checks that the head that an attempt has read belongs to its server's response to this request, and that the end of
// the body can be recognized. It fails with errInvalidResponse.
func (c *clientRequest) validateResponse(attempt *upstreamAttempt) error {
	resp := attempt.response
	if !c.belongsToRequest(attempt) || isSuccess(resp.StatusCode) && !c.isCredibleSuccess(resp) {
		c.proxy.counters.Mismatch.Add(1)
		return errInvalidResponse
	}
	if isCloseDelimited(resp, attempt.headRequest) && !c.proxy.options.knobs.AcceptUnframed {
		c.proxy.counters.Unframed.Add(1) // a truncated response would be indistinguishable from a complete one
		return errInvalidResponse
	}
	return nil
}

// belongsToRequest reports whether a response echoes the X-Attempt-Id of its request. Danger: a surplus response to an earlier request
// may arrive in place of the response to this one, and only its id reveals that. A failure without an id is accepted as the first
// response on its connection, because it cannot belong to an earlier request.
func (c *clientRequest) belongsToRequest(attempt *upstreamAttempt) bool {
	if c.proxy.options.knobs.SkipAttemptIDCheck {
		return true
	}
	echoed := attempt.response.Header[headerAttemptID]
	if len(echoed) == 0 {
		return attempt.freshConn && !isSuccess(attempt.response.StatusCode)
	}
	return len(echoed) == 1 && echoed[0] == c.attemptID
}

// isCredibleSuccess reports whether a success has an X-Server-Seal and nothing that contradicts it. If a success also states that the
// request was not executed, neither statement is trusted.
func (c *clientRequest) isCredibleSuccess(resp *http.Response) bool {
	isSealed := hasServerSeal(resp) || c.proxy.options.knobs.SkipServerSealCheck
	isEncoded := resp.Header.Get("Content-Encoding") != ""
	return isSealed && !isEncoded && !hasNotExecutedHeader(resp)
}

// hasServerSeal reports whether a response has the header X-Server-Seal, with which a server vouches for a success. It is unrelated to
// the sealed epochs of replication.
func hasServerSeal(resp *http.Response) bool { return resp.Header.Get(headerServerSeal) != "" }

// isCloseDelimited reports whether the end of a response's body is marked only by the end of its connection (RFC 9112, section 6.3).
func isCloseDelimited(resp *http.Response, headRequest bool) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !headRequest
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// hasNotExecutedHeader reports whether a server states by X-Not-Executed that it did not execute the request.
func hasNotExecutedHeader(resp *http.Response) bool {
	_, ok := resp.Header[headerNotExecuted]
	return ok
}

// impliesNotExecuted reports whether a status tells the client that its request was not executed.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func isEventStream(resp *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}
