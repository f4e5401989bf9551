package main

import (
	"context"
	"fmt"
)

// mistypedZone is "iași-hall-a", as a terminal set to ISO 8859-2 sends it: the letter ș is the byte 0xBA, which is not UTF-8.
const mistypedZone = "ia%BAi-hall-a"

// playMistypedZone evacuates a zone and takes it back, sends one order with a mistyped zone, and reads the configuration back at the end.
func playMistypedZone(ctx context.Context, show *stage) (held bool, err error) {
	for _, path := range []string{"/Evacuation.Start/iasi-hall-a", "/Evacuation.Finish/iasi-hall-a"} {
		if status := show.caller.send(ctx, order{path: path, within: ackTimeout}); status != 200 {
			return false, fmt.Errorf("%s ended with %d before anything was disrupted", path, status)
		}
	}
	if show.trouble {
		show.caller.send(ctx, order{path: "/Evacuation.Start/" + mistypedZone, within: ackTimeout})
	}
	show.log.printf("waiting %v, recovery_s", recoveryTime)
	sleep(ctx, recoveryTime)
	status, body := show.caller.read(ctx, contactTime+recoveryTime)
	held = status == 200 && body == firstConfig
	proper := show.caller.send(ctx, order{path: "/Evacuation.Start/iasi-hall-a", within: ackTimeout})
	show.log.printf("processes that run: %d of 6", show.nodes.alive())
	show.log.printf("configuration read back: %v; a proper order afterwards ended with %d", held, proper)
	if !held {
		show.log.printf("BROKEN: CONFIG, the configuration that was acknowledged does not come when it is read back")
	}
	return held, nil
}
