// Package ridgepb is the protobuf schema and Twirp service that keepers speak among themselves.
package ridgepb

//go:generate protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative ridge.proto
