package retry

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/place"
	"chicoryhoist.example/hoist/value"
)

// firstPrefixQuarantine is the duration of the first quarantine of a prompt prefix. It is short, because many requests may
// share the prefix and servers may have crashed for another reason.
const firstPrefixQuarantine = 30 * hoist.Second

// prefixContents returns the prompt prefixes of a request as contents; the shortest has depth 1, so that depth 0 remains for
// whole requests.
func prefixContents(a value.Ask) []value.Content {
	var contents []value.Content
	for i := range a.Prefixes().Len() {
		contents = append(contents, value.Content{}.WithFingerprint(a.Prefixes().At(i)).WithDepth(int32(i)+1))
	}
	return contents
}

// withPrefixCrash charges the crash of a server to the prompt prefixes of all attempts there, whether they had begun or not:
// a prompt may crash the server at any token.
func (g Guard) withPrefixCrash(s place.Server, now hoist.Millis) Guard {
	var contents []value.Content
	for r := range s.Running().All() {
		contents = append(contents, prefixContents(r.Ask())...)
	}
	g.prefixes = g.prefixes.WithCrash(value.Charge{}.WithServer(s.Name()), contents, now)
	return g
}
