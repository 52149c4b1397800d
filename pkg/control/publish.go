package control

import (
	"context"
	"sync"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/membership"
)

// Publish writes a control record by compare-and-swap and takes it over.
func (c *Coordinator) Publish(ctx context.Context, name string, old redwingstall.Revision, value []byte) (redwingstall.Revision, error) {
	revision, err := c.parts.Store.CompareAndSwap(ctx, name, old, value)
	if err != nil {
		return 0, err
	}
	record := redwingstall.Record{Name: name, Revision: revision, Value: value}
	c.learn([]redwingstall.Record{record}, false)
	return revision, nil
}

// Read reads a control record from the store and takes it over.
func (c *Coordinator) Read(ctx context.Context, name string) (redwingstall.Record, error) {
	record, err := c.parts.Store.Get(ctx, name)
	c.noteStore(err)
	if err != nil {
		return record, err
	}
	c.learn([]redwingstall.Record{record}, false)
	return record, nil
}

// Sync reads all control records from the store and takes them over.
func (c *Coordinator) Sync(ctx context.Context) error {
	records, err := c.parts.Store.List(ctx, redwingstall.ControlPrefix)
	c.noteStore(err)
	if err != nil {
		return err
	}
	c.learn(records, true)
	return nil
}

// ReplicateRecord makes a record known to a blocking set and reports whether it is: from
// then on no voting round can confirm a right under an older revision. The
// members are read after the record was written, so that none are missed who
// joined before it.
func (c *Coordinator) ReplicateRecord(ctx context.Context, name string, revision redwingstall.Revision) bool {
	stored, err := c.parts.Store.Get(ctx, membership.RecordName)
	c.noteStore(err)
	if err != nil {
		return false
	}
	if _, adopted := c.parts.Voter.Members(); stored.Revision > adopted && c.Sync(ctx) != nil {
		return false
	}
	members, adopted := c.parts.Voter.Members()
	if adopted < stored.Revision {
		return false
	}
	return members.HasBlockingSet(c.push(ctx, members, name, revision))
}

// push hands all known records to all members and returns which of them then
// know the revision.
func (c *Coordinator) push(ctx context.Context, members membership.MemberRecord, name string, revision redwingstall.Revision) map[string]bool {
	records := c.parts.Voter.Records()
	acknowledged := map[string]bool{}
	if c.parts.Voter.Record(name).Revision >= revision {
		acknowledged[c.common.Self.ID] = true
	}
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	mu := sync.Mutex{}
	pushing := sync.WaitGroup{}
	for id, address := range peersOf(members) {
		if id == c.common.Self.ID {
			continue
		}
		pushing.Go(func() {
			voter, known, err := c.parts.Peers.ClientFor(address).Learn(ctx, records, true)
			if err != nil || voter != id || known[name] < revision {
				c.common.Count("records.unacknowledged")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			acknowledged[id] = true
		})
	}
	pushing.Wait()
	return acknowledged
}

// peersOf returns the peer addresses of present and previous members by id.
func peersOf(members membership.MemberRecord) map[string]string {
	addresses := map[string]string{}
	for _, member := range members.Previous {
		addresses[member.ID] = member.Peer
	}
	for _, member := range members.Current {
		addresses[member.ID] = member.Peer
	}
	return addresses
}

// watch follows the store where this instance does so for its failure domain;
// the others learn from the votes of the next round.
func (c *Coordinator) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.isWatcher() {
			pause(ctx, listEvery)
			continue
		}
		c.watchOnce(ctx)
	}
}

func (c *Coordinator) isWatcher() bool {
	domain := c.common.Self.FailureDomain
	watcher, found := c.parts.Voter.Home("watch/"+domain, domain)
	return found && watcher.ID == c.common.Self.ID
}

func (c *Coordinator) watchOnce(ctx context.Context) {
	after := redwingstall.Revision(0)
	for _, revision := range c.parts.Voter.Revisions() {
		after = max(after, revision)
	}
	records, err := c.parts.Store.Watch(ctx, redwingstall.ControlPrefix, after)
	c.noteStore(err)
	if err != nil {
		c.common.Count("watches.failed")
		pause(ctx, membersEvery)
		return
	}
	for _, record := range records {
		if record.Name == membership.RecordName {
			_ = c.Sync(ctx) // a failure is counted by the client and made up for by refresh
			return
		}
	}
	c.learn(records, false)
}

// refresh reads everything now and then, should a watch have stopped silently.
func (c *Coordinator) refresh(ctx context.Context) {
	_, revision := c.parts.Voter.Members()
	if revision == 0 || c.isWatcher() {
		_ = c.Sync(ctx) // counted by the client
	}
}
