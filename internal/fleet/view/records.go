package view

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
)

// Keys of the router's own records in the store.
const (
	// RecordPrefix is the common prefix of all of them.
	RecordPrefix = "redwingstall/"
	// LeaderKey holds the name of the instance that writes the owner map, under its lease.
	LeaderKey = RecordPrefix + "leader"
	// MapPrefix is followed by the name of a sharded service.
	MapPrefix = RecordPrefix + "map/"
	// PeerPrefix is followed by the name of an instance, whose record is under its lease.
	PeerPrefix = RecordPrefix + "instance/"
)

func (v *View) setRecord(next *Snapshot, change redwingstall.Change) {
	switch {
	case change.Key == LeaderKey:
		v.setLeader(next, change)
	case strings.HasPrefix(change.Key, MapPrefix):
		v.setMap(next, change)
	case strings.HasPrefix(change.Key, PeerPrefix):
		v.setPeer(next, change)
	}
}

func (v *View) setLeader(next *Snapshot, change redwingstall.Change) {
	if change.Deleted {
		next.Leader = redwingstall.Item{}
		v.log.Info("leader gone", "revision", change.Revision)
		return
	}
	next.Leader = change.Item
	v.log.Info("leader", "instance", string(change.Value), "revision", change.Revision)
}

func (v *View) setMap(next *Snapshot, change redwingstall.Change) {
	service := strings.TrimPrefix(change.Key, MapPrefix)
	if change.Deleted {
		delete(next.Maps, service)
		return
	}
	m, err := shardmap.Decode(change.Value)
	if err != nil {
		v.log.Error("owner map cannot be decoded; keeping the previous one", "service", service, "revision", change.Revision, "error", err.Error())
		return
	}
	next.Maps[service] = m
	v.log.Info("owner map", "service", service, "revision", change.Revision, "term", m.Term, "ranges", len(m.Ranges))
}

func (v *View) setPeer(next *Snapshot, change redwingstall.Change) {
	name := strings.TrimPrefix(change.Key, PeerPrefix)
	next.Peers = slices.DeleteFunc(next.Peers, func(p Peer) bool { return p.Name == name })
	if change.Deleted {
		v.log.Info("instance record removed", "peer", name, "revision", change.Revision)
		return
	}
	var p Peer
	if err := json.Unmarshal(change.Value, &p); err != nil || p.Name != name {
		v.log.Error("instance record cannot be decoded", "peer", name, "revision", change.Revision)
		return
	}
	next.Peers = append(next.Peers, p)
	v.log.Info("instance", "peer", name, "address", p.Address, "revision", change.Revision)
}

// PeerRecord returns the store record that announces an instance to the others.
func PeerRecord(p Peer) (redwingstall.Item, error) {
	value, err := json.Marshal(p)
	return redwingstall.Item{Key: PeerPrefix + p.Name, Value: value}, errors.Wrap(err, "instance record")
}
