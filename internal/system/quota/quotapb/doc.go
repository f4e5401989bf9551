// Package quotapb holds the messages and Twirp services of package quotarpc, generated from quota.proto.
package quotapb

//go:generate protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative quota.proto
