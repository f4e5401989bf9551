package quota

import "gradeusher.example/gradeusher/internal/system/invariant"

var (
	sharesWithinLimit = invariant.New("quota_shares_within_limit",
		"a share that an allocator grants keeps what is outstanding of a tenant's limit within what may be leased")
	takesWithinBucket = invariant.New("quota_takes_within_bucket", "no more tokens are taken from a bucket than it holds")
)

// fractionRounding is by how much a sum of fractions may exceed its bound through rounding.
const fractionRounding = 1e-9
