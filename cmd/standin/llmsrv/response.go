// Package llmsrv is a stand-in for a model engine whose responses are a function of the prompt.
package llmsrv

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"chicoryhoist.example/hoist/wire"
)

const (
	// A prompt without a length marker gets minOutputTokens plus a hash of the prompt modulo outputTokenSpread.
	minOutputTokens   = 8
	outputTokenSpread = 33
	// blockBytes is the length of the prompt blocks that the prefix cache stores.
	blockBytes = 256
	// bytesPerToken is the typical number of bytes per token in English text.
	bytesPerToken = 4
)

// lengthMarker matches the part of a prompt that sets the output length, such as [[tokens=400]].
var lengthMarker = regexp.MustCompile(`\[\[tokens=(\d+)\]\]`)

var vocabulary = strings.Fields("stove flue pellet grate hopper auger ember draft gasket seam hide stitch awl thread wax bench " +
	"valve gauge panel hinge bolt clamp check clean replace adjust tighten inspect measure record repeat finish")

// Prompt returns the text on which the response depends.
func Prompt(r *wire.CompletionRequest) string {
	if len(r.GetMessages()) == 0 {
		return r.GetPrompt()
	}
	var b strings.Builder
	for _, m := range r.GetMessages() {
		b.WriteString(m.GetRole())
		b.WriteString("\n")
		b.WriteString(m.GetContent())
		b.WriteString("\n")
	}
	return b.String()
}

// OutputTokens returns the number of tokens in the response; a maxTokens of zero means no limit.
func OutputTokens(prompt string, maxTokens int32) int {
	n := minOutputTokens + int(xxhash.Sum64String(prompt)%outputTokenSpread)
	if m := lengthMarker.FindStringSubmatch(prompt); m != nil {
		if k, err := strconv.Atoi(m[1]); err == nil && k > 0 {
			n = k
		}
	}
	if maxTokens > 0 {
		n = min(n, int(maxTokens))
	}
	return n
}

// Token returns the token at the zero-based position of the response to the prompt.
func Token(prompt string, position int) string {
	h := xxhash.Sum64String(strconv.Itoa(position) + "|" + prompt)
	return vocabulary[h%uint64(len(vocabulary))] + strconv.FormatUint(h>>32%1000, 10) + " "
}

// ResponseText returns the complete response text for the request.
func ResponseText(r *wire.CompletionRequest) string {
	prompt := Prompt(r)
	var b strings.Builder
	for i := range OutputTokens(prompt, r.GetMaxTokens()) {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

// PromptTokens returns the estimated length of the prompt in tokens.
func PromptTokens(prompt string) int { return len(prompt)/bytesPerToken + 1 }

// PrefixHashes returns the hashes of the prompt's block-aligned prefixes, from the shortest to the longest.
func PrefixHashes(prompt string) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	for n := blockBytes; n <= len(prompt); n += blockBytes {
		hashes = append(hashes, xxhash.Sum64String(prompt[:n]))
	}
	return hashes
}
