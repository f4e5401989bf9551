// Command sidecar runs next to one copy of the calling application and forwards its requests to the servers that the decision module
// (package balance) chooses.
package main

import (
	"os"

	"gradeusher.example/gradeusher/internal/sidecar"
)

func main() { os.Exit(sidecar.Main(os.Getenv, os.Stderr)) }
