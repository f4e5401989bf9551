// Package rendezvous assigns keys to members by highest random weight: each process that knows the same members ranks them the same
// for a key, and a member that comes or goes moves only the keys that it wins or won.
//
// Source: Thaler, Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Hash is the 64-bit hash of a name from which weights are made.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Weight is the weight of the member with the hash memberHash for key. The member with the highest weight owns the key.
func Weight(key, memberHash uint64) uint64 { return Mix(key ^ memberHash) }

// Mix spreads the bits of x: it is the finalizer of splitmix64 (Steele, Lea, Flood 2014), a bijection.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
