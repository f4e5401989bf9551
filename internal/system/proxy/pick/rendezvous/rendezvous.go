// Package rendezvous assigns keys to members by highest random weight: all processes that know the same members
// rank them identically for a key, and adding or removing a member moves only the keys that it owns or owned.
//
// Source: Thaler, Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Hash returns the 64-bit hash of a name, from which weights are computed.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Weight returns the weight for key of the member with the hash memberHash. The member with the highest weight owns the key.
func Weight(key, memberHash uint64) uint64 { return Mix(key ^ memberHash) }

// Mix scrambles the bits of x: it is the finalizer of splitmix64 (Steele, Lea, Flood 2014), a bijection.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
