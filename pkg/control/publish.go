package control

import (
	"context"
	"sync"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/membership"
)

// Publish writes a control record by compare-and-swap and applies it here. It
// returns the new revision.
func (c *Coordinator) Publish(ctx context.Context, name string, oldRevision redwingstall.Revision, value []byte) (redwingstall.Revision, error) {
	revision, err := c.config.Store.CompareAndSwap(ctx, name, oldRevision, value)
	if err != nil {
		return 0, err
	}
	record := redwingstall.Record{Name: name, Revision: revision, Value: value}
	c.applyRecords([]redwingstall.Record{record}, false)
	return revision, nil
}

// Read reads a control record from the store and applies it.
func (c *Coordinator) Read(ctx context.Context, name string) (redwingstall.Record, error) {
	record, err := c.config.Store.Get(ctx, name)
	c.recordStoreResult(err)
	if err != nil {
		return record, err
	}
	c.applyRecords([]redwingstall.Record{record}, false)
	return record, nil
}

// Sync reads all control records from the store and applies them.
func (c *Coordinator) Sync(ctx context.Context) error {
	records, err := c.config.Store.List(ctx, redwingstall.ControlPrefix)
	c.recordStoreResult(err)
	if err != nil {
		return err
	}
	c.applyRecords(records, true)
	return nil
}

// ReplicateRecord sends a record to all members and reports whether a blocking set
// of them knows it, that is, a set that intersects every majority. If so, no later
// voting round can confirm a lease under an older revision. The member record is read after the record was written, so that no
// member that joined before the write is missed.
func (c *Coordinator) ReplicateRecord(ctx context.Context, name string, revision redwingstall.Revision) bool {
	stored, err := c.config.Store.Get(ctx, membership.RecordName)
	c.recordStoreResult(err)
	if err != nil {
		return false
	}
	if _, applied := c.config.Voter.Members(); stored.Revision > applied && c.Sync(ctx) != nil {
		return false
	}
	members, applied := c.config.Voter.Members()
	if applied < stored.Revision {
		return false
	}
	return members.HasBlockingSet(c.pushRecords(ctx, members, name, revision))
}

// pushRecords sends all known records to all members, previous ones included. It
// returns the IDs of those that then know the revision of the named record.
func (c *Coordinator) pushRecords(ctx context.Context, members membership.MemberRecord, name string, revision redwingstall.Revision) map[string]bool {
	records := c.config.Voter.Records()
	acknowledged := map[string]bool{}
	if c.config.Voter.Record(name).Revision >= revision {
		acknowledged[c.common.Self.ID] = true
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	mu := sync.Mutex{}
	requests := sync.WaitGroup{}
	for id, address := range peerAddresses(members) {
		if id == c.common.Self.ID {
			continue
		}
		requests.Go(func() {
			voter, known, err := c.config.Peers.ClientFor(address).Learn(ctx, records, true)
			if err != nil || voter != id || known[name] < revision {
				c.common.Count("records.unacknowledged")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			acknowledged[id] = true
		})
	}
	requests.Wait()
	return acknowledged
}

// peerAddresses returns the peer addresses of current and previous members by ID.
func peerAddresses(members membership.MemberRecord) map[string]string {
	addresses := map[string]string{}
	for _, member := range members.Previous {
		addresses[member.ID] = member.Peer
	}
	for _, member := range members.Current {
		addresses[member.ID] = member.Peer
	}
	return addresses
}

// watch watches the store while this instance is the watcher of its failure
// domain. The other instances see the new revisions in the votes of the next
// voting round.
func (c *Coordinator) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.isWatcher() {
			sleep(ctx, liveListInterval)
			continue
		}
		c.watchOnce(ctx)
	}
}

// isWatcher reports whether this instance watches the store for its failure domain.
func (c *Coordinator) isWatcher() bool {
	domain := c.common.Self.FailureDomain
	watcher, found := c.config.Voter.Home("watch/"+domain, domain)
	return found && watcher.ID == c.common.Self.ID
}

// watchOnce waits for one change of control records and applies it. A change of
// the member record needs all records, since those must be applied together.
func (c *Coordinator) watchOnce(ctx context.Context) {
	after := redwingstall.Revision(0)
	for _, revision := range c.config.Voter.Revisions() {
		after = max(after, revision)
	}
	records, err := c.config.Store.Watch(ctx, redwingstall.ControlPrefix, after)
	c.recordStoreResult(err)
	if err != nil {
		c.common.Count("watches.failed")
		sleep(ctx, memberInterval)
		return
	}
	for _, record := range records {
		if record.Name == membership.RecordName {
			_ = c.Sync(ctx) // the client counts a failure; syncPeriodically retries
			return
		}
	}
	c.applyRecords(records, false)
}

// syncPeriodically reads all control records if this instance is the watcher, in
// case its watch has stopped without an error, or if it knows no members yet.
func (c *Coordinator) syncPeriodically(ctx context.Context) {
	_, revision := c.config.Voter.Members()
	if revision == 0 || c.isWatcher() {
		_ = c.Sync(ctx) // the client counts a failure
	}
}
