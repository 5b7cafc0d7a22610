package config

import "chicoryhoist.example/hoist/event"

// Verdict is the result of Resolve.
//
//sumtype:decl
type Verdict interface{ isVerdict() }

// Accept means that the offered version comes into force.
type Accept struct {
	// Event to log.
	Event event.Code
}

// Ignore means that the version in force stays, because it is equal to or newer than the offered one.
type Ignore struct {
	// Event to log; its number is zero if the offered version is the one in force.
	Event event.Code
}

// Conflict means that the two versions have the same generation but different digests.
type Conflict struct {
	// Event to log.
	Event event.Code
	// Accepted is set if the offered version has the greater digest and comes into force.
	Accepted bool
}

func (Accept) isVerdict()   {}
func (Ignore) isVerdict()   {}
func (Conflict) isVerdict() {}

// Resolve decides whether an offered version replaces the one in force; the zero version means that none is in force.
//
// The order of versions is total and the same on every router, so all routers that have
// been offered the same versions have the same one in force, regardless of the order of the offers.
func Resolve(inForce, offered Version) Verdict {
	switch {
	case offered == inForce:
		return Ignore{}
	case inForce == Version{} || offered.Generation > inForce.Generation:
		return Accept{event.InForce}
	case offered.Generation < inForce.Generation:
		return Ignore{event.ConfigOutdated}
	default:
		return Conflict{event.ConfigConflict, offered.Newer(inForce)}
	}
}
