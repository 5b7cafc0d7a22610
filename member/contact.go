package member

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// condition is the reachability of a contact.
type condition int

const (
	// The zero condition is that of a contact that is known by name and has never responded.
	_ condition = iota
	// conditionLive contacts respond.
	conditionLive
	// conditionFailed contacts have been silent for too long.
	conditionFailed
)

// contact is the state of the exchanges with one peer.
type contact struct {
	incarnation uint64
	condition   condition
	// beat is the last beat received from the peer; echo is the last own beat that the peer had received.
	beat, echo uint64
	// heartbeatAt is the time of the last heartbeat; echoAt is the last time at which echo advanced.
	heartbeatAt, echoAt hoist.Millis
	// failedBeat is the own beat at which the contact failed.
	failedBeat uint64
	// receivedSequence is the sequence number in the peer's store up to which items have arrived here; ackedSequence is that
	// in the own store up to which items have arrived at the peer; sentSequence was sent and may be lost.
	receivedSequence, ackedSequence, sentSequence uint64
	// sentBeat is the own beat of the last batch, and sentUrgentSequence the sequence number up to which it contained the
	// urgent items; confirmedUrgentSequence is the one up to which they have arrived, although bulk items before it may
	// still be waiting.
	sentBeat, sentUrgentSequence, confirmedUrgentSequence uint64
	// losses counts how often the peer failed; peerLosses is the peer's count for this router.
	losses, peerLosses uint64
	// ackFloor is the sequence number below which an acknowledgement is ignored, because the peer now receives other items
	// than it did then.
	ackFloor           uint64
	generation, digest uint64
	// wantsVersion is set when the peer does not know the configuration version of this router.
	wantsVersion bool
	// nextExchange is the time of the next exchange; sentAt is the start of the current one, which is pending.
	nextExchange, sentAt hoist.Millis
	pending              bool
	// unconfirmed is set by a pause until the peer echoes a later beat.
	unconfirmed bool
	// retry is set when the last exchange got no response.
	retry bool
	// announcedBeat is the own beat of the last batch; batches contain the configuration version until the peer has echoed a
	// beat after its change.
	announcedBeat uint64
	// directedSequence is the sequence number of the last item whose only recipient is this peer.
	directedSequence uint64
}

// knownSequence returns the sequence number up to which the peer has all items that it is to receive.
func (c contact) knownSequence() uint64 {
	if c.ackedSequence < c.ackFloor {
		return 0
	}
	return c.ackedSequence
}

// knownUrgentSequence returns the sequence number up to which the peer has the urgent items.
func (c contact) knownUrgentSequence() uint64 {
	if c.confirmedUrgentSequence < c.ackFloor {
		return c.knownSequence()
	}
	return max(c.knownSequence(), c.confirmedUrgentSequence)
}

// answersAs reports whether the contact is live under the incarnation.
func (c contact) answersAs(incarnation uint64) bool {
	return c.condition == conditionLive && c.incarnation == incarnation
}

// receive returns the contact after a heartbeat of the peer; ownBeat is the beat of this router.
//
// A contact becomes live only after it has echoed a beat of this process that is later than its failure: a message that was
// delayed in the network, or queued while this process was paused, must not revive a process that has ended.
func (c contact) receive(pulse value.Pulse, ownBeat, sequence uint64, now hoist.Millis) contact {
	if pulse.Incarnation() > c.incarnation {
		c = contact{
			incarnation: pulse.Incarnation(), unconfirmed: c.unconfirmed, directedSequence: c.directedSequence, ackFloor: c.ackFloor, losses: c.losses,
			nextExchange: c.nextExchange, pending: c.pending, sentAt: c.sentAt, echoAt: now,
		}
	}
	newer := pulse.Beat() > c.beat
	if newer {
		c.beat = pulse.Beat()
		c.ackedSequence = pulse.Ack()
		c.wantsVersion = pulse.Want()
		if pulse.Losses() != c.peerLosses {
			c.peerLosses = pulse.Losses()
			c.sentSequence, c.sentBeat, c.sentUrgentSequence, c.confirmedUrgentSequence = 0, 0, 0, 0
		}
	} else {
		c.ackedSequence = max(c.ackedSequence, pulse.Ack())
	}
	if c.ackedSequence > sequence {
		c.ackedSequence = 0
	}
	if echo := pulse.Echo(); echo <= ownBeat && echo > c.echo {
		c.echo = echo
		c.echoAt = now
		if c.sentBeat > 0 && echo >= c.sentBeat {
			c.confirmedUrgentSequence = c.sentUrgentSequence
		}
	}
	if c.condition != conditionLive && c.echo > c.failedBeat {
		c.condition = conditionLive
		c.heartbeatAt = now
	}
	if c.condition == conditionLive && newer {
		c.heartbeatAt = now
	}
	if pulse.Generation() != 0 {
		c.generation, c.digest = pulse.Generation(), pulse.Digest()
	}
	if pulse.Sequence()-min(pulse.Span(), pulse.Sequence()) <= c.receivedSequence {
		c.receivedSequence = max(c.receivedSequence, pulse.Sequence())
	}
	return c
}

// checkSilence returns the contact after a check for timeouts.
//
// A peer that can be received but receives nothing also counts as failed, so that both ends of a one-way partition agree.
// It has twice the time, because its echo arrives one exchange later.
func (c contact) checkSilence(ownBeat uint64, suspect, now hoist.Millis) contact {
	if c.condition == conditionLive && (now-c.heartbeatAt > suspect || now-c.echoAt > 2*suspect) {
		c = c.failed(ownBeat)
	}
	if c.pending && now-c.sentAt > suspect {
		c.pending = false
	}
	return c
}

// failed returns the contact after its failure; the peer must send all items again when it is back.
func (c contact) failed(ownBeat uint64) contact {
	c.condition = conditionFailed
	c.failedBeat = ownBeat
	c.receivedSequence = 0
	c.losses++
	c.unconfirmed = false
	return c
}
