// Package process is the skeleton of the system's programs: command line, settings, logs, signals, metrics, listeners, HTTP servers
// of the system's own surfaces, and a group of goroutines that ends as one.
package process
