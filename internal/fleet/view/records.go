package view

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
)

// Keys of the router's own records in the store.
const (
	// RecordPrefix is the common prefix of all of them.
	RecordPrefix = "redwingstall/"
	// MapPrefix is the common prefix of the owner maps.
	MapPrefix = RecordPrefix + "map/"
	// PeerPrefix is followed by the name of an instance, whose record is under its lease.
	PeerPrefix = RecordPrefix + "instance/"
	// leaderKey is followed by the era, unless that is zero.
	leaderKey = RecordPrefix + "leader"
)

// LeaderKey returns the key that holds, in an era of the store, the name of the instance
// that writes the owner maps, under its lease. The era is part of the key, so that a
// campaign that the store executes in a later era has no effect there.
func LeaderKey(era redwingstall.Era) string {
	if era == 0 {
		return leaderKey
	}
	return fmt.Sprintf("%s/%d", leaderKey, era)
}

// MapKey returns the key of the owner map of a service in an era of the store. The era is
// part of the key, so that no condition on a revision of another era can hold for it.
func MapKey(era redwingstall.Era, service string) string {
	if era == 0 {
		return MapPrefix + service
	}
	return fmt.Sprintf("%s%d/%s", MapPrefix, era, service)
}

// ParseMapKey returns the era and the service of an owner map's key.
func ParseMapKey(key string) (era redwingstall.Era, service string) {
	service = strings.TrimPrefix(key, MapPrefix)
	number, rest, isFound := strings.Cut(service, "/")
	if n, err := strconv.ParseInt(number, 10, 64); isFound && err == nil {
		return redwingstall.Era(n), rest
	}
	return 0, service
}

func (v *View) setRecord(next *Snapshot, change redwingstall.Change) {
	switch {
	case change.Key == LeaderKey(next.Era):
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

// setMap stores the owner map of the latest era. One of an earlier era counts until there
// is none of the current era; it is not replaced by a copy that a recovered store lists.
func (v *View) setMap(next *Snapshot, change redwingstall.Change) {
	era, service := ParseMapKey(change.Key)
	known, isKnown := next.Maps[service]
	if isKnown && (era < known.Era || era < next.Era) {
		return
	}
	if change.Deleted {
		delete(next.Maps, service)
		return
	}
	m, err := shardmap.Decode(change.Value)
	if err != nil {
		v.log.Error("owner map cannot be decoded; keeping the previous one", "service", service, "era", era, "revision", change.Revision, "error", err.Error())
		return
	}
	next.Maps[service] = OwnerMap{Map: m, Era: era}
	v.log.Info("owner map", "service", service, "era", era, "revision", change.Revision, "term", m.Term, "ranges", len(m.Ranges))
}

func (v *View) setPeer(next *Snapshot, change redwingstall.Change) {
	name := strings.TrimPrefix(change.Key, PeerPrefix)
	delete(v.retained.peers, name)
	next.removePeer(name)
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

func (s *Snapshot) removePeer(name string) {
	s.Peers = slices.DeleteFunc(s.Peers, func(p Peer) bool { return p.Name == name })
}

// PeerRecord returns the store record that announces an instance to the others.
func PeerRecord(p Peer) (redwingstall.Item, error) {
	value, err := json.Marshal(p)
	return redwingstall.Item{Key: PeerPrefix + p.Name, Value: value}, errors.Wrap(err, "instance record")
}
