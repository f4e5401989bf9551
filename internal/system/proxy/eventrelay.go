package proxy

import (
	"context"
	"errors"
	"io"
)

// relayEvents forwards the events of a stream as they arrive. A truncated stream may be resumed at another server: the next attempt
// requests the events after the last one that was sent to the client.
func (c *clientRequest) relayEvents(ctx context.Context, attempt *upstreamAttempt) attemptResult {
	buffer, recycle := getBuffer(eventBufferBytes)
	defer recycle()
	reader := &eventReader{source: attempt.response.Body, buf: buffer}
	if c.route.Resumable {
		reader.resumeAfter(c.lastEventID)
	}
	if c.headSent {
		c.proxy.counters.Resumed.Add(1)
	}
	for isFirst := true; ; isFirst = false {
		events, err := reader.next()
		if errors.Is(err, io.EOF) {
			if !c.headSent {
				c.sendHead(attempt.response.StatusCode, attempt.response.Header, attempt.response.ContentLength)
			}
			return c.finishRelay(attempt)
		}
		if err != nil {
			c.handleFailure(attempt, err)
			return tryNextServer
		}
		if isFirst {
			c.beginEvents(attempt)
		}
		if err := c.writeToClient(events); err != nil {
			return c.handleRelayFailure(attempt, err)
		}
		c.lastEventID = reader.resumableID()
		if isFirst {
			c.watchProgress(ctx, attempt, c.proxy.options.Timeouts.eventGap(c.route.EventGapTarget))
		}
	}
}

// beginEvents reports a stream's first event to the picker, and forwards the head unless this stream resumes another one.
func (c *clientRequest) beginEvents(attempt *upstreamAttempt) {
	c.proxy.picker.FirstEvent(attempt.choice.Ticket)
	if !c.headSent {
		// Danger: a stream that is resumed at another server may not have the length that the first server announced.
		c.sendHead(attempt.response.StatusCode, attempt.response.Header, unknownLength)
	}
}
