package follow

import (
	"cmp"
	"slices"

	"github.com/redwingstall/redwingstall"
)

// record is a record of the operator or of a backend server, and its decoded form.
type record struct {
	change redwingstall.Change
	event  redwingstall.Event
}

// memory holds the newest known records of the operator and the backend servers by key.
// The zero value is empty.
type memory struct{ records map[string]record }

// reset replaces the memory by the records of a listing.
func (m *memory) reset(listing []record) {
	m.records = make(map[string]record, len(listing))
	for _, r := range listing {
		m.observe(r)
	}
}

// recover does the same with the listing of a recovered store. It returns the known records
// that the listing lacks or has older, which other instances may not know, and remembers
// them. Entries of servers are returned only if they are listed: a server that runs
// registers again.
func (m *memory) recover(listing []record) (newer []record) {
	known := m.records
	m.reset(listing)
	for key, r := range known {
		listed, isListed := m.records[key]
		_, isEntry := r.event.(redwingstall.EntryChanged)
		if isListed && isOlder(listed.event, r.event) || !isListed && !isEntry {
			newer = append(newer, r)
			m.records[key] = r
		}
	}
	slices.SortFunc(newer, func(a, b record) int { return cmp.Compare(a.change.Key, b.change.Key) })
	return newer
}

// observe remembers a record, or forgets it if it was removed.
func (m *memory) observe(r record) {
	if m.records == nil {
		m.records = map[string]record{}
	}
	switch e := r.event.(type) {
	case redwingstall.ConfigurationChanged, redwingstall.EntryChanged:
		if known, isKnown := m.records[r.change.Key]; !isKnown || !isOlder(r.event, known.event) {
			m.records[r.change.Key] = r
		}
	case redwingstall.EvacuationChanged:
		if e.IsActive {
			m.records[r.change.Key] = r
			return
		}
		delete(m.records, r.change.Key)
	case redwingstall.EntryRemoved:
		delete(m.records, r.change.Key)
	}
}

// isOlder reports whether a record is older than another one under the same key.
func isOlder(event, other redwingstall.Event) bool {
	switch e := event.(type) {
	case redwingstall.ConfigurationChanged:
		o, isSame := other.(redwingstall.ConfigurationChanged)
		return isSame && e.Configuration.Version < o.Configuration.Version
	case redwingstall.EntryChanged:
		o, isSame := other.(redwingstall.EntryChanged)
		return isSame && e.Entry.IsOlderThan(o.Entry)
	}
	return false
}
