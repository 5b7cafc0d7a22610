package place

// Status says whether a server takes new work.
type Status int

// Status values.
const (
	// StatusReady servers take work up to their limit.
	StatusReady Status = iota
	// StatusProbation servers take a trickle of work until they prove healthy.
	StatusProbation
	// StatusLeaving servers take no new work and finish what they run.
	StatusLeaving
	// StatusDown servers are unreachable.
	StatusDown
)

// String returns the lower-case name of the status.
func (s Status) String() string {
	return [...]string{"ready", "probation", "leaving", "down"}[s]
}

// Reason says why a server has its status.
type Reason int

// Reason values.
const (
	// ReasonNone belongs to servers without a remark.
	ReasonNone Reason = iota
	// ReasonSlowFirstToken means that first tokens came much later than those of the peers.
	ReasonSlowFirstToken
	// ReasonSlowInterToken means that tokens followed each other much more slowly than on the peers.
	ReasonSlowInterToken
	// ReasonRecovering means that the server was down and has not proved healthy since.
	ReasonRecovering
	// ReasonCrashed means that the server crashed while it ran an attempt.
	ReasonCrashed
	// ReasonFailing means that several attempts in a row failed without a token, or that no connection could be opened.
	ReasonFailing
	// ReasonInstanceList means that the instance list shows the server as leaving or no longer shows it.
	ReasonInstanceList
	// ReasonServerRefused means that the server itself refused work because it is leaving.
	ReasonServerRefused
	// ReasonPeerAnnounced means that a peer announced the departure.
	ReasonPeerAnnounced
)

// String returns the lower-case name of the reason; it is empty for ReasonNone.
func (r Reason) String() string {
	return [...]string{
		"", "first token", "inter token", "recovering", "crashed", "failing", "listed", "refused", "departed",
	}[r]
}
