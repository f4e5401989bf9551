// Package pick decides which server gets which request.
package pick
