package config

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// maxSuggestionNames is the largest number of known names for which a suggestion is made;
// otherwise many unknown names in a large snapshot would make the parser quadratic.
const maxSuggestionNames = 64

// maxNameBytes is the maximum length of a name, and of a string that a suggestion is made for or a finding quotes.
const maxNameBytes = 128

// suggestion returns a hint with the known name that has the smallest edit distance, or an
// empty string if no name is close enough to be a likely misspelling.
func suggestion(name string, known []string) string {
	if len(known) > maxSuggestionNames || len(name) > maxNameBytes {
		return ""
	}
	best, limit := "", 1+len(name)/2
	for _, k := range known {
		if d := distance(name, k); d < limit {
			best, limit = k, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", best)
}

// distance returns the Levenshtein distance between two strings, in bytes.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, diagonal+1)
		}
	}
	return row[len(b)]
}

// tableKeys returns the sorted keys that a table accepts.
func tableKeys(d protoreflect.MessageDescriptor) []string {
	keys := make([]string, 0, d.Fields().Len())
	for i := range d.Fields().Len() {
		keys = append(keys, string(d.Fields().Get(i).Name()))
	}
	slices.Sort(keys)
	return keys
}

// truncate shortens a string of the input to maxNameBytes, so that findings stay readable.
func truncate(text string) string {
	if len(text) <= maxNameBytes {
		return text
	}
	return text[:maxNameBytes] + "..."
}
