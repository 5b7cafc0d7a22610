// Package quota limits requests, tokens and concurrency by class and workspace across the fleet.
//
// The owner of a limit leases parts of it to the routers whose callers use it. The
// parts of every limit add up to at most the whole:
//
//   - three quarters are leased, in proportion to demand;
//   - one quarter is divided equally among the listed routers and needs no lease, so
//     that a first request need not wait for one;
//   - a router that has asked for a lease for twice the lease duration without an
//     answer uses the limit divided by the number of listed routers, and an owner
//     reserves that much for each router that asks and holds no lease.
//
// A lease runs from the stamp of the usage report that it answers, on the holder's clock, so
// it expires at the holder before its record expires at the owner. A router that becomes the
// owner of a limit grants no leases until those of an earlier owner have expired.
// Hence the sum stays within the limit while all routers reach one owner, and within
// the limit times the number of partitions otherwise.
package quota
