package member

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/value"
)

// Event is an input of State.
//
//sumtype:decl
type Event interface{ isEvent() }

// GossipReceived is a batch of a peer: the response to an Exchange, or a request that is answered by a Reply.
type GossipReceived struct {
	Gossip  value.Gossip
	Request bool
}

// ExchangeFailed means that an Exchange with the peer got no response.
type ExchangeFailed struct{ Peer string }

// InstancesListed is a new instance list of the platform.
type InstancesListed struct{ List value.InstanceList }

// Ticked means that a heartbeat is due; the runtime sends it every heartbeat_ms.
type Ticked struct {
	// Elapsed is the time since the runtime began to wait for this tick.
	Elapsed hoist.Millis
}

// ServerLeaving means that a backend server has refused work because it is leaving.
type ServerLeaving struct{ Server string }

// DrainStarted means that this router has begun to drain.
type DrainStarted struct{}

// Configured means that a configuration version is in force on this router.
type Configured struct{ Version config.Version }

// ItemPublished publishes an item of another component; Recipient is the only router that receives it, or empty for all.
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

// Effect is an action that the runtime performs for State.
//
//sumtype:decl
type Effect interface{ isEffect() }

// Exchange sends a batch to a peer; its response comes back as GossipReceived, its failure as ExchangeFailed.
type Exchange struct {
	Peer   value.Member
	Gossip value.Gossip
}

// Reply responds to the request that was just received.
type Reply struct{ Gossip value.Gossip }

// Publish replaces the current view and names the routers to which connections are kept open.
type Publish struct {
	View      *View
	Connected []value.Member
}

// Deliver passes new items to the components that they belong to.
type Deliver struct{ Items []value.Item }

// Log writes a change of the membership as a numbered log event.
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

// Notice is the kind of a logged membership change.
type Notice int

// Notices.
const (
	// NoticeJoined means that a router is live.
	NoticeJoined Notice = iota
	// NoticeFailed means that a router is no longer live.
	NoticeFailed
	// NoticeLeaving means that a router is leaving.
	NoticeLeaving
	// NoticeRestarted means that a router has a higher incarnation than before.
	NoticeRestarted
	// NoticePaused means that this process was paused and its view is stale.
	NoticePaused
	// NoticeRefreshed means that the view is current again.
	NoticeRefreshed
	// NoticeDeparted means that a backend server is leaving.
	NoticeDeparted
	// NoticeConflict means that a peer has another configuration with the same generation in force.
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
