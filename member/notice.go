package member

import "chicoryhoist.example/hoist/event"

// codes maps membership changes to log events.
var codes = map[Notice]event.Code{
	NoticeJoined:    event.Joined,
	NoticeFailed:    event.RouterUnreachable,
	NoticeLeaving:   event.Leaving,
	NoticeRestarted: event.Joined,
	NoticePaused:    event.Paused,
	NoticeRefreshed: event.ViewFresh,
	NoticeDeparted:  event.Leaving,
	NoticeConflict:  event.ConfigConflict,
	NoticeReplaced:  event.NameReused,
}

// Event returns the log event of the change.
func (n Notice) Event() event.Code { return codes[n] }
