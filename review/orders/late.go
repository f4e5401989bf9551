package main

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	lateZone    = "cluj-hall-b"
	linkDelay   = 3 * time.Second // of each byte, while the link is slow
	slowFor     = 8 * time.Second
	chokedAfter = 5 * time.Second // for so long a link that was slow still counts as slow
	observeFor  = 10 * time.Second
)

// playLateOrder takes a zone back and evacuates it again, while the operator's link to one node is slow. It counts what reaches the zone's
// server once everything is well again.
func playLateOrder(ctx context.Context, show *stage) (held bool, err error) {
	load := startTraffic(ctx, show.nodes, show.log)
	defer load.stop()
	sleep(ctx, 6*time.Second)
	if load.arrivals(lateZone, time.Time{}) == 0 {
		return false, errors.New("nothing reaches the zone's server before anything was disrupted")
	}
	show.caller.next = 0
	if status := show.caller.send(ctx, order{path: "/Evacuation.Start/" + lateZone, within: ackTimeout}); status != 200 {
		return false, fmt.Errorf("the first evacuation ended with %d", status)
	}
	sleep(ctx, evacuateTime)
	quietFrom := time.Now()
	sleep(ctx, time.Second)
	if count := load.arrivals(lateZone, quietFrom); count > 0 {
		return false, fmt.Errorf("%d requests reached the zone before anything was disrupted", count)
	}
	show.caller.next = 0
	if show.trouble {
		show.log.printf("the operator's link to the first node is slow: each byte takes %v, in both directions", linkDelay)
		show.link.setDelay(linkDelay)
	}
	began := time.Now()
	if status := show.caller.send(ctx, order{path: "/Evacuation.Finish/" + lateZone, within: ackTimeout}); status != 200 {
		return false, fmt.Errorf("the end of the evacuation was answered with %d", status)
	}
	sleep(ctx, time.Second)
	show.caller.next = 1
	status := show.caller.send(ctx, order{path: "/Evacuation.Start/" + lateZone, within: ackTimeout})
	if status != 200 {
		return false, fmt.Errorf("the second evacuation was answered with %d", status)
	}
	acknowledged := time.Now()
	sleep(ctx, time.Until(began.Add(slowFor)))
	show.link.setDelay(0)
	show.log.printf("the link is well again")
	sleep(ctx, max(time.Until(began.Add(slowFor+chokedAfter+contactTime)), time.Until(acknowledged.Add(evacuateTime))))
	from := time.Now()
	show.log.printf("counting from now, %.1f s after the second evacuation was acknowledged", from.Sub(acknowledged).Seconds())
	sleep(ctx, observeFor)
	count := load.arrivals(lateZone, from)
	show.log.printf("requests that reached the evacuated zone within %v: %d; the others in that time: %d", observeFor, count, load.all(from)-count)
	if count > 0 {
		show.log.printf("BROKEN: EVAC, the zone was evacuated, that was acknowledged and never taken back")
	}
	return count == 0, nil
}
