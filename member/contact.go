package member

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// condition says whether a contact is reachable.
type condition int

const (
	// The zero condition is that of a contact that is known by name and has not been heard.
	_ condition = iota
	// conditionLive contacts answer.
	conditionLive
	// conditionFailed contacts have been silent for too long.
	conditionFailed
)

// contact is what a router knows about a peer from their own exchanges.
type contact struct {
	incarnation uint64
	condition   condition
	// beat is the last heartbeat of the peer; echo is the last own one that the peer had heard.
	beat, echo uint64
	// heard is the time of the last heartbeat; proved is the last time at which echo advanced.
	heard, proved hoist.Millis
	// failedAt is the own beat at which the contact failed.
	failedAt uint64
	// received is the position in the peer's store that has arrived here; acked is the
	// position in the own store that has arrived there; pushed was sent and may be lost.
	received, acked, pushed uint64
	// pushedAt is the own beat of the last batch, and carried the position up to which it held the urgent items;
	// confirmed is the position up to which they have arrived there, although bulk items before it may still wait.
	pushedAt, carried, confirmed uint64
	// losses counts how often this peer was lost; theirs is the peer's count of the same.
	losses, theirs uint64
	// floor is the position below which an acknowledgement does not count, because the
	// peer has since become one to which other items are sent.
	floor              uint64
	generation, digest uint64
	// wants is set when the peer does not know the own generation.
	wants bool
	// next is the time of the next exchange; sent is that of the one in progress.
	next, sent  hoist.Millis
	pending     bool
	unconfirmed bool
	// retry is set when the last exchange got no answer.
	retry bool
	// alerted is the own beat at which a new configuration was announced to the peer.
	alerted uint64
	// directed is the position of the last item that is for this peer alone.
	directed uint64
}

// known returns the position up to which the peer has everything that it is to get.
func (c contact) known() uint64 {
	if c.acked < c.floor {
		return 0
	}
	return c.acked
}

// urgentKnown returns the position up to which the peer has the urgent items.
func (c contact) urgentKnown() uint64 {
	if c.confirmed < c.floor {
		return c.known()
	}
	return max(c.known(), c.confirmed)
}

// live reports whether the contact answers as the incarnation.
func (c contact) live(incarnation uint64) bool {
	return c.condition == conditionLive && c.incarnation == incarnation
}

// hear returns the contact after a heartbeat at the time now; own is the own beat.
//
// A contact becomes live only when it has heard a beat of this process, and a later one than
// that of its failure: a message that was delayed on the way, or that waited while this
// process was paused, must not revive a process that is gone.
func (c contact) hear(p value.Pulse, own, sequence uint64, now hoist.Millis) contact {
	if p.Incarnation() > c.incarnation {
		c = contact{
			incarnation: p.Incarnation(), unconfirmed: c.unconfirmed, directed: c.directed, floor: c.floor, losses: c.losses,
			next: c.next, pending: c.pending, sent: c.sent, proved: now,
		}
	}
	ordered := p.Beat() > c.beat
	if ordered {
		c.beat = p.Beat()
		c.acked = p.Ack()
		c.wants = p.Want()
		if p.Losses() != c.theirs {
			c.theirs = p.Losses()
			c.pushed, c.pushedAt, c.carried, c.confirmed = 0, 0, 0, 0
		}
	} else {
		c.acked = max(c.acked, p.Ack())
	}
	if c.acked > sequence {
		c.acked = 0
	}
	if echo := p.Echo(); echo <= own && echo > c.echo {
		c.echo = echo
		c.proved = now
		if c.pushedAt > 0 && echo >= c.pushedAt {
			c.confirmed = c.carried
		}
	}
	if c.condition != conditionLive && c.echo > c.failedAt {
		c.condition = conditionLive
		c.heard = now
	}
	if c.condition == conditionLive && ordered {
		c.heard = now
	}
	if p.Generation() != 0 {
		c.generation, c.digest = p.Generation(), p.Digest()
	}
	if p.Sequence()-min(p.Span(), p.Sequence()) <= c.received {
		c.received = max(c.received, p.Sequence())
	}
	return c
}

// judge returns the contact after its silence was checked.
//
// A peer that is heard but hears nothing counts as failed too, so that both ends of a
// one-way partition see the same; it has twice the time, because its proof comes one exchange later.
func (c contact) judge(own uint64, suspect, now hoist.Millis) contact {
	if c.condition == conditionLive && (now-c.heard > suspect || now-c.proved > 2*suspect) {
		c = c.lost(own)
	}
	if c.pending && now-c.sent > suspect {
		c.pending = false
	}
	return c
}

// lost returns the contact after it was found silent; the peer must send all again when it is back.
func (c contact) lost(own uint64) contact {
	c.condition = conditionFailed
	c.failedAt = own
	c.received = 0
	c.losses++
	c.unconfirmed = false
	return c
}
