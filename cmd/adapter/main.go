// Command adapter hosts instances of the decision module (package balance) on the simulator's wire: events on standard input,
// actions on standard output. The instances share nothing, and the adapter decides nothing.
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

// run plays batches until the input ends.
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
