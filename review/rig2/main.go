// Command rig2 plays the cases of a review: it starts the system's own processes with the commands of the deploy file, with
// stand-ins for clients, servers and the platform's list beside them, and judges by what these have seen.
//
// Its only argument is the name of a play; RECORD names the file to write and TROUBLE=0 leaves out the disruption. It exits with 1
// if the rule was broken, 0 if it held, and 2 if the play could not run.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// plays are the plays by name. A play returns what broke the rule, if anything did.
var plays = map[string]func(*rig) (broken []string, err error){
	"paused-stream": playPausedStream,
	"first-start":   playFirstStart,
	"lost-seeds":    playLostSeeds,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 2 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 PLAY; see main.go for the plays")
		return exitFailed
	}
	path := os.Getenv("RECORD")
	if path == "" {
		path = "record.txt"
	}
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	stand := &rig{rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	defer stand.end()
	broken, err := plays[os.Args[1]](stand)
	if err != nil {
		rec.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitFailed
	}
	for _, line := range broken {
		rec.printf("BROKEN: %s", line)
		fmt.Println("broken:", line)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	rec.printf("held")
	fmt.Println("held")
	return exitHeld
}
