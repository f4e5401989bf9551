// Command adapter runs instances of the decision module (package balance) for the simulator: it reads events from standard input and
// writes actions to standard output. The instances share nothing, and the adapter makes no decisions itself.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"gradeusher.example/gradeusher/internal/sidecar/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run processes batches of events until the input ends.
func run(in io.Reader, out io.Writer) error {
	reader := wire.NewReader(in)
	p := player{out: wire.NewWriter(out), instances: map[int]*instance{}}
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := p.play(event); err != nil {
			return err
		}
	}
}
