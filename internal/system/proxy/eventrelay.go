package proxy

import (
	"io"
	"net/http"

	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// relayEvents passes on events as they come. An answer that is cut may be taken up at another server.
func (c *clientRequest) relayEvents(choice pick.Choice, attempt *upstreamAttempt, resp *http.Response) bool {
	buf, recycle := getBuffer(eventBufferBytes)
	defer recycle()
	reader := &eventReader{source: resp.Body, buf: buf}
	if c.route.Resumable {
		reader.resumeAfter(c.lastEventID)
	}
	if c.headSent {
		c.proxy.counters.Resumed.Add(1)
	}
	first := true
	for {
		complete, err := reader.next()
		if err == io.EOF {
			if !c.headSent {
				c.sendHead(resp.StatusCode, resp.Header, resp.ContentLength)
			}
			attempt.finish()
			c.reportOutcome(choice, pick.Served)
			c.proxy.counters.Served.Add(1)
			return true
		}
		if err != nil {
			return c.handleFailure(choice, attempt, err)
		}
		if first {
			c.proxy.picker.FirstEvent(choice.Ticket)
			if !c.headSent {
				// Danger: a stream that goes on at another server need not come to the length that the first one told.
				c.sendHead(resp.StatusCode, resp.Header, -1)
			}
		}
		if err := c.writeToClient(complete); err != nil {
			return c.handleRelayFailure(choice, attempt, err)
		}
		if c.lastEventID = reader.lastEventID; reader.missedID {
			c.lastEventID = "" // it cannot be told where another server should go on
		}
		if first {
			first = false
			c.watchForSilence(attempt, max(2*c.route.EventGapTarget, c.proxy.options.TestingKnobs.MinEventSilenceTimeout))
		}
	}
}
