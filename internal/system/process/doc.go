// Package process contains what all programs of the system share: command line, settings, logs, signals, metrics, listeners, HTTP
// servers of the system's own endpoints, and a group of goroutines that ends together.
package process
