package assign

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

const (
	// cacheRows and cacheColumns are the dimensions of the table, which is split so that an update copies only a
	// small piece of it.
	cacheRows    = 32
	cacheColumns = 32
	// maxCellEntries bounds the entries of one cell: a few parts on every server of a shard.
	maxCellEntries = 128
	// cacheEntryTTL is the time after which a server has probably evicted a prompt part that was not used.
	cacheEntryTTL = 20 * hoist.Second
)

// cacheEntry records that a server has computed a prompt part and probably still caches it.
type cacheEntry struct {
	part   uint64
	server string
	usedAt hoist.Millis
}

// promptCache is an immutable table of the prompt parts that servers cache; it is created by newPromptCache.
type promptCache struct {
	rows value.List[value.List[value.List[cacheEntry]]]
}

// newPromptCache returns an empty table.
func newPromptCache() promptCache {
	row := value.ListOf(make([]value.List[cacheEntry], cacheColumns)...)
	rows := make([]value.List[value.List[cacheEntry]], cacheRows)
	for i := range rows {
		rows[i] = row
	}
	return promptCache{value.ListOf(rows...)}
}

// PartHash returns a hash of the part ID that spreads consecutive IDs.
func PartHash(part uint64) uint64 { return part * 0x9e3779b97f4a7c15 }

// cellOf returns the row and column of the cell that holds the part.
func cellOf(part uint64) (int, int) {
	h := PartHash(part)
	return int(h >> 32 % cacheRows), int(h >> 48 % cacheColumns)
}

// cell returns the entries of the cell that holds the part; other parts may share it.
func (p promptCache) cell(part uint64) value.List[cacheEntry] {
	row, column := cellOf(part)
	return p.rows.At(row).At(column)
}

// cacheStatus describes where a prompt part is cached.
type cacheStatus struct {
	// cached is set if the given server has used the part within cacheEntryTTL.
	cached bool
	// lastUsed is the time of the last use at any server, or zero.
	lastUsed hoist.Millis
}

// status returns where the part is cached, as seen from the given server.
func (p promptCache) status(part uint64, server string, now hoist.Millis) cacheStatus {
	var x cacheStatus
	for h := range p.cell(part).All() {
		if h.part != part || now-h.usedAt >= cacheEntryTTL {
			continue
		}
		x.cached = x.cached || h.server == server
		x.lastUsed = max(x.lastUsed, h.usedAt)
	}
	return x
}

// recomputes reports whether the part would be computed again although another server used it within reuseWindow.
func (x cacheStatus) recomputes(now hoist.Millis) bool {
	return !x.cached && x.lastUsed > 0 && now-x.lastUsed < reuseWindow
}

// with returns a copy that records the use of the part at the server; expired entries of the cell are removed.
func (p promptCache) with(part uint64, server string, now hoist.Millis) promptCache {
	row, column := cellOf(part)
	list := []cacheEntry{{part, server, now}}
	for h := range p.rows.At(row).At(column).All() {
		if (h.part != part || h.server != server) && now-h.usedAt < cacheEntryTTL && len(list) < maxCellEntries {
			list = append(list, h)
		}
	}
	p.rows = p.rows.With(row, p.rows.At(row).With(column, value.ListOf(list...)))
	return p
}
