// Package distribution is state dissemination by long poll: numbered, acknowledged changes of the control state from keepers to
// proxies, repaired by snapshot, and beside it soft state (members, servers, loads) that merges by version and is never on
// disk.
//
// A Hub is a keeper's end, a Follower a proxy's. Hubs pass soft state on to each other, so that it does not matter which
// of them a proxy follows.
package distribution

//go:generate protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative distributionpb/distribution.proto
