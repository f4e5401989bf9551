// Package replicationpb is the protobuf schema and Twirp service that keepers speak among themselves.
package replicationpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative replication.proto
