package assign

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

const (
	// partRows and partColumns divide the table of parts, so that a change copies a small piece of it.
	partRows    = 32
	partColumns = 32
	// cellMost bounds the holdings of one cell: a few parts on every server of a shard.
	cellMost = 128
	// partLife is the time after which a server has probably evicted a part that nobody used.
	partLife = 20 * hoist.Second
)

// holding says that a server has computed a prompt part.
type holding struct {
	part   uint64
	server string
	used   hoist.Millis
}

// parts is the immutable table of the prompt parts that servers hold; the zero value is empty.
type parts struct {
	rows value.List[value.List[value.List[holding]]]
}

// newParts returns an empty table.
func newParts() parts {
	row := value.ListOf(make([]value.List[holding], partColumns)...)
	rows := make([]value.List[value.List[holding]], partRows)
	for i := range rows {
		rows[i] = row
	}
	return parts{value.ListOf(rows...)}
}

// PartHash spreads parts whose ids are close to each other.
func PartHash(part uint64) uint64 { return part * 0x9e3779b97f4a7c15 }

// cell returns the place of a part.
func cell(part uint64) (int, int) {
	h := PartHash(part)
	return int(h >> 32 % partRows), int(h >> 48 % partColumns)
}

// at returns the holdings that share the part's cell.
func (p parts) at(part uint64) value.List[holding] {
	row, column := cell(part)
	return p.rows.At(row).At(column)
}

// presence says how a prompt part is held.
type presence struct {
	// here says that the server of interest has used the part within its life.
	here bool
	// last is the time of the last use at any server, or zero.
	last hoist.Millis
}

// presence returns how the part is held, as seen from the server.
func (p parts) presence(part uint64, server string, now hoist.Millis) presence {
	var x presence
	for h := range p.at(part).All() {
		if h.part != part || now-h.used >= partLife {
			continue
		}
		x.here = x.here || h.server == server
		x.last = max(x.last, h.used)
	}
	return x
}

// wasted reports whether computing the part at another server counts as computing it in vain.
func (x presence) wasted(now hoist.Millis) bool {
	return !x.here && x.last > 0 && now-x.last < reuseWindow
}

// with returns a copy in which the server has used the part now; old holdings of the cell go.
func (p parts) with(part uint64, server string, now hoist.Millis) parts {
	row, column := cell(part)
	list := []holding{{part, server, now}}
	for h := range p.rows.At(row).At(column).All() {
		if (h.part != part || h.server != server) && now-h.used < partLife && len(list) < cellMost {
			list = append(list, h)
		}
	}
	p.rows = p.rows.With(row, p.rows.At(row).With(column, value.ListOf(list...)))
	return p
}
