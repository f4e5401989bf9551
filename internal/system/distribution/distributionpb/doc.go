// Package distributionpb holds the messages and Twirp services of package distribution, generated from distribution.proto.
package distributionpb
