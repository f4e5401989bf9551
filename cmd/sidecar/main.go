// Command sidecar stands beside one copy of the calling application and passes its requests to servers, as the
// decision module says.
package main

import (
	"os"

	"gradeusher.example/gradeusher/internal/sidecar"
)

func main() { os.Exit(sidecar.Main(os.Getenv, os.Stderr)) }
