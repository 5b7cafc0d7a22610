package member

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/value"
)

// Event is something that happened to a router's membership.
//
//sumtype:decl
type Event interface{ isEvent() }

// GossipReceived is a batch of a peer: the answer to an Exchange, or a request that a Reply answers.
type GossipReceived struct {
	Gossip  value.Gossip
	Request bool
}

// ExchangeFailed means that an Exchange with the peer got no answer.
type ExchangeFailed struct{ Peer string }

// InstancesListed is a new instance list of the platform.
type InstancesListed struct{ List value.InstanceList }

// Ticked means that a heartbeat is due; it comes every heartbeat_ms.
type Ticked struct {
	// Elapsed is the time that passed since the wait for this tick began.
	Elapsed hoist.Millis
}

// ServerLeaving means that a backend server has refused work because it is leaving.
type ServerLeaving struct{ Server string }

// DrainStarted means that this router begins to leave.
type DrainStarted struct{}

// Configured means that this router has put a configuration into force.
type Configured struct{ Version config.Version }

// ItemPublished spreads an item of another part; Recipient names its only receiver, or is empty.
type ItemPublished struct {
	Body      value.ItemBody
	Recipient string
}

func (GossipReceived) isEvent()  {}
func (ExchangeFailed) isEvent()  {}
func (InstancesListed) isEvent() {}
func (Ticked) isEvent()          {}
func (ServerLeaving) isEvent()   {}
func (DrainStarted) isEvent()    {}
func (Configured) isEvent()      {}
func (ItemPublished) isEvent()   {}

// Effect is something that the runtime does for the state.
//
//sumtype:decl
type Effect interface{ isEffect() }

// Exchange sends a batch to a peer; its answer comes back as GossipReceived, its failure as ExchangeFailed.
type Exchange struct {
	Peer   value.Member
	Gossip value.Gossip
}

// Reply answers the request that was just heard.
type Reply struct{ Gossip value.Gossip }

// Publish puts a view into force and names the routers to which connections are kept.
type Publish struct {
	View      *View
	Connected []value.Member
}

// Deliver hands the new items of other parts to them.
type Deliver struct{ Items []value.Item }

// Log reports a change of membership as a numbered event.
type Log struct {
	Notice      Notice
	Name        string
	Incarnation uint64
}

func (Exchange) isEffect() {}
func (Reply) isEffect()    {}
func (Publish) isEffect()  {}
func (Deliver) isEffect()  {}
func (Log) isEffect()      {}

// Notice is the kind of a logged change.
type Notice int

// Notices.
const (
	// NoticeJoined means that a router is live.
	NoticeJoined Notice = iota
	// NoticeFailed means that a router is no longer live.
	NoticeFailed
	// NoticeLeaving means that a router has begun to leave.
	NoticeLeaving
	// NoticeRestarted means that a router has a higher incarnation.
	NoticeRestarted
	// NoticePaused means that this process was paused and its view is stale.
	NoticePaused
	// NoticeRefreshed means that the view is fresh again.
	NoticeRefreshed
	// NoticeDeparted means that a backend server is leaving.
	NoticeDeparted
	// NoticeConflict means that a peer holds another configuration with the same generation.
	NoticeConflict
	// NoticeReplaced means that a newer process uses the name of this one.
	NoticeReplaced
)

// String returns the lower-case name of the notice.
func (n Notice) String() string {
	return [...]string{
		"joined", "failed", "leaving", "restarted", "paused", "refreshed", "departed", "conflict", "replaced",
	}[n]
}
