package config

import "chicoryhoist.example/hoist/event"

// Verdict is the answer of Resolve.
//
//sumtype:decl
type Verdict interface{ isVerdict() }

// Accept puts the offered version into force.
type Accept struct {
	// Event to log.
	Event event.Code
}

// Ignore keeps the version in force, which is the same one or a newer one.
type Ignore struct {
	// Event to log; its number is zero when the offer is the version in force.
	Event event.Code
}

// Conflict reports two versions of one generation with different digests.
type Conflict struct {
	// Event to log.
	Event event.Code
	// Accepted says that the offer has the greater digest and comes into force.
	Accepted bool
}

func (Accept) isVerdict()   {}
func (Ignore) isVerdict()   {}
func (Conflict) isVerdict() {}

// Resolve decides about a version against the one in force; the zero version means that there is none.
//
// The order of versions is total and the same on every router, so all routers that have
// seen the same offers hold the same version, whatever the order of the offers.
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
