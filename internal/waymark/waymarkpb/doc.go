// Package waymarkpb holds the messages and Twirp services of package waymark, generated from waymark.proto.
package waymarkpb
