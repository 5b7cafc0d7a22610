package member

import (
	"slices"

	"chicoryhoist.example/hoist/value"
)

const (
	// maxStoreReaders is the number of instances of a region that read the store in turn, each one only while those before
	// it have no current content. A store may turn away a third of the instances, and the first readers among them.
	maxStoreReaders = 16
	// storeReaderKey and localReaderKey are the rendezvous keys of the store readers of a region and of the local reader of
	// a data centre.
	storeReaderKey = "store/region"
	localReaderKey = "store/datacentre/"
)

// ReaderPlan is the part of an instance in reading the store.
//
// One instance of each region reads the store. One instance of each data centre takes the content from it and passes it
// to the others of the data centre, so that the calls to the store do not grow with the instances or the data centres.
type ReaderPlan struct {
	// Sources are the instances to ask for content before the store is used, in order.
	Sources []string
	// Reader is set if this instance reads the store while its sources have no current content.
	Reader bool
	// Fallbacks are the instances that a reader asks while the store does not respond to it.
	Fallbacks []string
	// Relays are the instances to tell of new content of the store: the local readers and the other readers.
	Relays []string
	// Followers are the other instances of the data centre if this one is their local reader.
	Followers []string
	// Instances is the number of live instances of the region.
	Instances int
}

// PlanReaders returns the part of the view's own instance in reading the store.
func PlanReaders(v *View) ReaderPlan {
	self := v.Self()
	region := membersOf(v.Members(), func(m value.Member) bool { return m.Region() == self.Region() })
	readers := storeReaders(region)
	p := ReaderPlan{Instances: len(region), Relays: withoutRepeats(slices.Concat(readers, localReaders(region)), self.Name())}
	local := localReader(region, self.Datacentre())
	if at := slices.Index(readers, self.Name()); at >= 0 {
		p.Reader = true
		p.Sources, p.Fallbacks = readers[:at], readers[at+1:]
	} else {
		p.Sources = readers
		if local != self.Name() {
			p.Sources = slices.Concat([]string{local}, readers)
		}
	}
	if local == self.Name() {
		for _, m := range region {
			if m.Datacentre() == self.Datacentre() {
				p.Followers = append(p.Followers, m.Name())
			}
		}
	}
	p.Sources = withoutRepeats(p.Sources, self.Name())
	p.Followers = withoutRepeats(p.Followers, self.Name())
	return p
}

// storeReaders returns the names of the store readers of a region, in the order of their turn.
func storeReaders(region []value.Member) []string {
	var names []string
	for _, m := range Capable(region) {
		names = append(names, m.Name())
	}
	ranked := Rank(names, storeReaderKey)
	return ranked[:min(len(ranked), maxStoreReaders)]
}

// localReader returns the name of the instance that passes the content of the store to the others of a data centre.
func localReader(region []value.Member, datacentre string) string {
	m, _ := Choose(membersOf(region, func(m value.Member) bool { return m.Datacentre() == datacentre }), localReaderKey+datacentre)
	return m.Name()
}

// localReaders returns the local readers of all data centres.
func localReaders(region []value.Member) []string {
	var names []string
	seen := map[string]bool{}
	for _, m := range region {
		if !seen[m.Datacentre()] {
			seen[m.Datacentre()] = true
			names = append(names, localReader(region, m.Datacentre()))
		}
	}
	return names
}

// membersOf returns the members for which keep returns true.
func membersOf(members []value.Member, keep func(value.Member) bool) []value.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m value.Member) bool { return !keep(m) })
}

// withoutRepeats returns the names in their order, each once, without self and empty names.
func withoutRepeats(names []string, self string) []string {
	seen := map[string]bool{self: true, "": true}
	var unique []string
	for _, n := range names {
		if !seen[n] {
			seen[n] = true
			unique = append(unique, n)
		}
	}
	return unique
}
