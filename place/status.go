package place

// Status says whether a server takes new work.
type Status int

// Status values.
const (
	// StatusReady servers take work up to their concurrency limit.
	StatusReady Status = iota
	// StatusProbation servers get one request at a time until they prove healthy.
	StatusProbation
	// StatusLeaving servers take no new work and finish their running attempts.
	StatusLeaving
	// StatusDown servers have crashed, failed or are unreachable, and take no work until they are probed.
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
	// ReasonNone means that there is nothing to report.
	ReasonNone Reason = iota
	// ReasonSlowFirstToken means that first tokens took much longer than on the peers.
	ReasonSlowFirstToken
	// ReasonSlowInterToken means that the time between tokens was much longer than on the peers.
	ReasonSlowInterToken
	// ReasonRecovering means that the server was down and has not proved healthy since.
	ReasonRecovering
	// ReasonCrashed means that the server crashed while it ran an attempt.
	ReasonCrashed
	// ReasonFailing means that several attempts in a row failed without a token, that a probe failed, or that no
	// connection could be opened.
	ReasonFailing
	// ReasonInstanceList means that the instance list shows the server as leaving or no longer shows it.
	ReasonInstanceList
	// ReasonServerRefused means that the server itself refused work because it is leaving.
	ReasonServerRefused
	// ReasonPeerAnnounced means that a peer announced that the server is leaving.
	ReasonPeerAnnounced
)

// String returns the lower-case name of the reason; it is empty for ReasonNone.
func (r Reason) String() string {
	return [...]string{
		"", "first token", "inter token", "recovering", "crashed", "failing", "listed", "refused", "departed",
	}[r]
}
