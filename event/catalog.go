// Package event defines the numbered log events of the router and writes them to the log.
package event

import (
	"fmt"
	"strings"

	"github.com/sirupsen/logrus"
)

// Code is one numbered log event. The meaning of a number never changes.
type Code struct {
	// Number identifies the event in logs and in docs/events.md.
	Number int
	// Level of the event.
	Level logrus.Level
	// Text of the log line.
	Text string
	// Action tells an operator what to do.
	Action string
}

// Events of the process.
var (
	Started        = Code{100, logrus.InfoLevel, "router started", "None."}
	Ready          = Code{101, logrus.InfoLevel, "router has a configuration and accepts requests", "None."}
	Drain          = Code{102, logrus.InfoLevel, "router is draining and rejects new requests", "None; the process exits when its last request has ended."}
	Stopped        = Code{103, logrus.InfoLevel, "router stopped", "None."}
	DrainTimeout   = Code{104, logrus.ErrorLevel, "drain timeout expired while requests were in progress", "Raise timing.drain_ms, or look for a request that does not end."}
	Paused         = Code{105, logrus.WarnLevel, "process was paused; its views are treated as stale", "Look for an overloaded machine if it recurs."}
	ListenerFailed = Code{106, logrus.ErrorLevel, "listener failed", "Check that the address is free and belongs to this instance."}
)

// Events of the configuration.
var (
	InForce             = Code{200, logrus.InfoLevel, "configuration is in force", "None."}
	ConfigRejected      = Code{201, logrus.ErrorLevel, "published configuration was rejected; the one in force stays", "Check the findings with hoistctl check and publish a corrected one."}
	ConfigConflict      = Code{202, logrus.ErrorLevel, "two configurations have the same generation; the greater digest is in force", "Publish a new generation, and publish from one place only."}
	PlatformUnreachable = Code{203, logrus.WarnLevel, "platform cannot be read; the configuration in force stays", "Check the platform if it persists."}
	ConfigOutdated      = Code{204, logrus.WarnLevel, "an older configuration was offered and ignored", "Check whether the platform serves a stale value."}
)

// Events of the fleet.
var (
	Joined            = Code{300, logrus.InfoLevel, "router instance is live", "None."}
	RouterUnreachable = Code{301, logrus.WarnLevel, "router instance is not reachable", "Check the instance or the network if it persists."}
	Leaving           = Code{302, logrus.InfoLevel, "instance is leaving", "None."}
	ShardOwned        = Code{303, logrus.InfoLevel, "shard is owned by this router", "None."}
	ShardReleased     = Code{304, logrus.InfoLevel, "shard is owned by another router", "None."}
	ViewFresh         = Code{306, logrus.InfoLevel, "view of the fleet is current again", "None."}
	NameReused        = Code{307, logrus.ErrorLevel, "a newer process uses the same instance name", "Give each process its own name, or stop the old process."}
	OwnerUnreachable  = Code{305, logrus.WarnLevel, "no owner of a shard is reachable; this router schedules its own requests", "Check the network between routers if it persists."}
)

// Events of backend servers.
var (
	ServerOnProbation  = Code{400, logrus.WarnLevel, "backend server is slow and on probation", "Check the machine if it recurs."}
	Recovered          = Code{401, logrus.InfoLevel, "backend server has left probation", "None."}
	ServerCrashed      = Code{402, logrus.ErrorLevel, "backend server crashed while it ran requests", "Check the server, and the quarantine list for content that crashes servers."}
	ContentQuarantined = Code{403, logrus.ErrorLevel, "content fingerprint is quarantined", "Ask the workspace for the request; it crashes backend servers."}
	Ordered            = Code{404, logrus.InfoLevel, "order was sent to a backend server", "None."}
	OrderFenced        = Code{405, logrus.WarnLevel, "backend server refused an order with an old fencing number", "Raise the fence of the pool and publish."}
	OrderFailed        = Code{406, logrus.WarnLevel, "order to a backend server failed", "Check the server if it recurs."}
)

// Events of requests.
var (
	ForeignFrame   = Code{500, logrus.ErrorLevel, "frame of another request was dropped", "Report it to the engine's authors."}
	OperatorDenied = Code{501, logrus.WarnLevel, "operator's credential was rejected", "Check who calls the administration interface."}
)

// Events of the store that a forwarding router reads.
var (
	StoreUnreachable  = Code{600, logrus.WarnLevel, "store cannot be read; what is known of it stays in use", "Check the store and the network if it persists; requests with a key are rejected once the view of the store exceeds its age limit."}
	StoreRecovered    = Code{601, logrus.InfoLevel, "store can be read again", "None."}
	StoreCompacted    = Code{602, logrus.InfoLevel, "store has compacted its history; all keys are listed again", "None."}
	RoutesInForce     = Code{603, logrus.InfoLevel, "route table is in force", "None."}
	EntryUnreadable   = Code{604, logrus.WarnLevel, "entry of the store cannot be read and is ignored", "Find the process that writes the key."}
	ServerListed      = Code{605, logrus.InfoLevel, "backend server is listed", "None."}
	ServerGone        = Code{606, logrus.InfoLevel, "entry of a backend server was removed", "None."}
	SettingsChecked   = Code{607, logrus.InfoLevel, "settings file was read again and is valid; changes take effect at the next start", "None."}
	SettingsRejected  = Code{608, logrus.ErrorLevel, "settings are invalid; the previous ones stay in force", "Check the findings and correct the file."}
	LogDropped        = Code{609, logrus.WarnLevel, "log lines were dropped because the output was too slow", "Check the reader of standard output."}
	EvacuationInForce = Code{610, logrus.WarnLevel, "data centre is evacuated; its backend servers get no new requests", "Stop what remains there once hoist_forward_evacuated is 0 on all instances; remove the key to end the evacuation."}
	EvacuationEnded   = Code{611, logrus.InfoLevel, "evacuation of a data centre has ended; its backend servers get requests again", "None."}
	StoreEraChanged   = Code{612, logrus.WarnLevel, "store has returned from an older copy and has begun a new era; what is known stays in use until it is written again", "Compare the version with the newest configuration, and publish that again if the store lacks it."}
)

// Events of the messages between forwarding routers.
var (
	MeshReadFailed    = Code{650, logrus.WarnLevel, "datagram socket of the instances cannot be read", "Check the network of the instance if it persists."}
	MeshSendFailed    = Code{651, logrus.WarnLevel, "datagram to another instance cannot be sent", "Check the network of the instance if it persists."}
	MeshFull          = Code{652, logrus.WarnLevel, "message to the membership was dropped because its inbox is full", "Look for an overloaded instance if it recurs."}
	OwnerUnresponsive = Code{653, logrus.WarnLevel, "owner of a shard does not respond; this instance places its own requests", "Check the owner and the network if it persists."}
	OwnerChanged      = Code{654, logrus.InfoLevel, "shard has another owner", "None."}
)

// Events of forwarded requests.
var (
	RequestEnded       = Code{700, logrus.InfoLevel, "request has ended", "See docs/OPERATIONS.md for how to trace a request to its cause."}
	AttemptFailed      = Code{701, logrus.InfoLevel, "attempt at a backend server has failed", "Check the server if it recurs."}
	CrashAttributed    = Code{703, logrus.WarnLevel, "backend server crashed while it ran a request; the crash is attributed to its content", "Check the server if crashes are attributed to other content as well."}
	PanicContained     = Code{704, logrus.ErrorLevel, "handling of a message or request has panicked and was ended", "Report the line with its stack; the process keeps serving."}
	CrashUnconfirmed   = Code{705, logrus.InfoLevel, "response of a backend server was lost, but no crash is attributed to the request", "None; many of them point to the network or to the server."}
	ContentReleased    = Code{706, logrus.InfoLevel, "content is no longer quarantined, because a server has answered it or other content explains the crashes", "None."}
	ServerLeaving      = Code{707, logrus.InfoLevel, "backend server has said in a response that it is leaving; it gets no new requests", "None."}
	ServerPaused       = Code{708, logrus.InfoLevel, "backend server has refused a request and wants none from this instance for a time", "Check its load if it recurs."}
	CallerLimited      = Code{709, logrus.WarnLevel, "request body was refused; at most one line a second", "See the counters of refused callers in docs/metrics.md if it recurs."}
	ServerCold         = Code{710, logrus.InfoLevel, "backend server is taken as cold; it gets requests at a limited rate", "None; look at the server if it recurs with the reason down or restarted."}
	RefusedEarly       = Code{720, logrus.InfoLevel, "requests were refused early, because the engines of a shard are behind; the fields are the inputs of the last one", "Compare expected_ms with left_ms; add engines if it persists, or look at the workspace with the greatest excess."}
	EnginesLearned     = Code{721, logrus.InfoLevel, "learned speeds of the engines of an owned shard", "Check an engine whose factor stays far from 1."}
	RequestQuarantined = Code{702, logrus.WarnLevel, "request was rejected because its content has crashed backend servers", "Ask the workspace for the request."}
)

// InvariantViolated reports that an invariant check failed.
var InvariantViolated = Code{900, logrus.ErrorLevel, "invariant violated", "Report it with the surrounding log lines; the router keeps serving."}

// All returns all events in ascending order of their numbers.
func All() []Code {
	return []Code{
		Started, Ready, Drain, Stopped, DrainTimeout, Paused, ListenerFailed,
		InForce, ConfigRejected, ConfigConflict, PlatformUnreachable, ConfigOutdated,
		Joined, RouterUnreachable, Leaving, ShardOwned, ShardReleased, OwnerUnreachable, ViewFresh, NameReused,
		ServerOnProbation, Recovered, ServerCrashed, ContentQuarantined, Ordered, OrderFenced, OrderFailed,
		ForeignFrame, OperatorDenied,
		StoreUnreachable, StoreRecovered, StoreCompacted, RoutesInForce, EntryUnreadable, ServerListed, ServerGone, SettingsChecked, SettingsRejected, LogDropped, EvacuationInForce, EvacuationEnded, StoreEraChanged,
		MeshReadFailed, MeshSendFailed, MeshFull, OwnerUnresponsive, OwnerChanged,
		RequestEnded, AttemptFailed, RequestQuarantined, CrashAttributed, PanicContained, CrashUnconfirmed, ContentReleased, ServerLeaving, ServerPaused, CallerLimited, ServerCold, RefusedEarly, EnginesLearned,
		InvariantViolated,
	}
}

// Log writes numbered events to a logger.
type Log struct {
	logger *logrus.Logger
}

// NewLog returns a Log that writes to the logger.
func NewLog(l *logrus.Logger) *Log { return &Log{l} }

// Write writes one event with its fields.
func (l *Log) Write(c Code, fields logrus.Fields) {
	l.logger.WithFields(fields).WithField("event", c.Number).Log(c.Level, c.Text)
}

// Catalog returns the table of all events in Markdown, which is the content of docs/events.md.
func Catalog() string {
	var b strings.Builder
	b.WriteString("# Log events\n\nEach log line carries the number of its event in the field `event`.\n\n")
	b.WriteString("| event | level | meaning | what an operator does |\n| --- | --- | --- | --- |\n")
	for _, c := range All() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", c.Number, c.Level, c.Text, c.Action)
	}
	return b.String()
}
