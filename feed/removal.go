package feed

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// maxRemovedKeys limits the removed keys whose position is stored to reject older records.
	maxRemovedKeys = 1024
	// maxSentRemovals limits the removed keys that are sent to another instance with the complete content.
	maxSentRemovals = 128
)

// removal is what is known of a removed key.
type removal struct {
	position Position
	// born is the start time of the backend server that had the key, or zero.
	born int64
	// written is set if the store has stated the removal at the position, instead of a list that lacks the key.
	written bool
}

// recordRemoval stores the position of a removed key, so that older records of it are rejected if they arrive later. Beyond
// maxRemovedKeys, the older half is dropped; the keys removed last are the ones whose records may still be on their way.
func (s State) recordRemoval(key string, r removal) {
	if old := s.removed[key]; r.position.Before(old.position) {
		s.removed[key] = removal{old.position, max(old.born, r.born), old.written}
	} else {
		s.removed[key] = removal{r.position, max(old.born, r.born), r.written}
	}
	if len(s.removed) > maxRemovedKeys {
		for _, k := range s.removedKeys()[maxRemovedKeys/2:] {
			delete(s.removed, k)
		}
	}
}

// removedKeys returns the removed keys, those removed last first.
func (s State) removedKeys() []string {
	return slices.SortedFunc(maps.Keys(s.removed), func(a, b string) int {
		return cmp.Or(s.removed[b].position.compare(s.removed[a].position), cmp.Compare(a, b))
	})
}
