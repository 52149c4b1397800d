package ownership_test

import (
	"fmt"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/assignment"
	"github.com/redwingstall/redwingstall/pkg/grant"
	"github.com/redwingstall/redwingstall/pkg/membership"
)

// step performs one randomly chosen step. Most steps are regular work of the system; some
// inject faults.
func (sm *simulation) step() {
	i := sm.instances[sm.chooser.choose("instance", len(sm.instances))]
	if i.isCrashed {
		sm.advance(200)
		return
	}
	switch sm.chooser.choose("step", 24) {
	case 0, 1, 2:
		sm.advance(400)
	case 3:
		sm.advance(3000)
	case 4, 5, 6:
		i.beginRound()
	case 7, 8, 9, 10, 11, 12:
		sm.deliver()
	case 13, 14:
		i.finishRound()
	case 15, 16:
		i.sendGrantOrders()
	case 17, 18:
		i.updateAssignment()
	case 19:
		i.updateMembers()
	case 20:
		i.updateHomeRole()
	case 21:
		i.readStore()
	case 22:
		sm.injectFault(i)
		sm.runRounds(sm.chooser.choose("rounds", 8))
	case 23:
		sm.toggleServerState()
	}
	sm.checkInvariants()
}

// recoverAll heals the network and the store and runs some rounds, so that a run makes
// progress between faults.
func (sm *simulation) recoverAll() {
	sm.blockedLinks = map[[2]string]bool{}
	sm.storeUnreachable = map[string]bool{}
	sm.storeAvailable = true
	sm.runRounds(6)
}

// runRounds performs the periodic work of every running instance in each round. The chooser
// may pause an instance for a round. Current partitions and outages stay in place.
func (sm *simulation) runRounds(rounds int) {
	for range rounds {
		for _, i := range sm.instances {
			if i.isCrashed || sm.chooser.choose("pause", 8) == 0 {
				continue
			}
			i.updateMembers()
			i.beginRound()
			sm.deliverAll()
			i.finishRound()
			i.updateAssignment()
			i.sendGrantOrders()
			sm.deliverAll()
			i.updateHomeRole()
			sm.checkInvariants()
		}
		sm.advance(400)
	}
}

// deliverAll delivers the messages in flight in order, including those sent meanwhile.
func (sm *simulation) deliverAll() {
	for n := len(sm.inFlight); n > 0 || len(sm.inFlight) > 0; n-- {
		m := sm.inFlight[0]
		sm.inFlight = sm.inFlight[1:]
		m.deliver()
		sm.checkInvariants()
	}
}

// advance moves the simulated time on by 1 to maxMillis milliseconds.
func (sm *simulation) advance(maxMillis int) {
	sm.elapsed += time.Duration(1+sm.chooser.choose("millis", maxMillis)) * time.Millisecond
	sm.checkInvariants()
}

// toggleServerState flips whether a server is eligible for shards, or whether it counts as lost.
func (sm *simulation) toggleServerState() {
	s := sm.servers[sm.chooser.choose("server", len(sm.servers))]
	if sm.chooser.choose("kind", 2) == 0 {
		sm.eligibleServers[s.name] = !sm.eligibleServers[s.name]
		return
	}
	sm.lostServers[s.name] = !sm.lostServers[s.name]
}

func (sm *simulation) injectFault(i *instance) {
	switch sm.chooser.choose("fault", 10) {
	case 0:
		sm.storeAvailable = !sm.storeAvailable
		sm.logf("store available: %v", sm.storeAvailable)
	case 1:
		other := sm.instances[sm.chooser.choose("other", len(sm.instances))]
		link := [2]string{i.member.ID, other.member.ID}
		sm.blockedLinks[link] = !sm.blockedLinks[link]
	case 2:
		s := sm.servers[sm.chooser.choose("server", len(sm.servers))]
		s.restart()
		sm.logf("%s restarts", s.name)
	case 3:
		if len(sm.instances) < 6 {
			sm.startInstance()
		}
	case 4:
		i.crash()
	case 5:
		i.restart()
	case 6, 7:
		sm.partition()
	case 9:
		for _, other := range sm.instances {
			if !other.isCrashed && sm.chooser.choose("restart", 4) != 0 {
				other.restart()
			}
		}
	case 8:
		sm.storeUnreachable[i.member.Name] = !sm.storeUnreachable[i.member.Name]
	}
}

// partition splits the instances into two sides that cannot reach each other. One side may
// lose the store too.
func (sm *simulation) partition() {
	side := map[string]int{}
	sideWithoutStore := sm.chooser.choose("sideWithoutStore", 4)
	for _, i := range sm.instances {
		side[i.member.Name] = sm.chooser.choose("side", 2)
		sm.storeUnreachable[i.member.Name] = side[i.member.Name] == sideWithoutStore
	}
	for _, a := range sm.instances {
		for _, b := range sm.instances {
			sm.blockedLinks[[2]string{a.member.ID, b.member.ID}] = side[a.member.Name] != side[b.member.Name]
		}
	}
	sm.logf("partition %v, side %d without store", side, sideWithoutStore)
}

// crash stops the instance for good, unless only two are left running.
func (i *instance) crash() {
	running := 0
	for _, other := range i.sim.instances {
		if !other.isCrashed {
			running++
		}
	}
	if running > 2 {
		i.isCrashed = true
		i.sim.logf("%s crashes", i.member.ID)
	}
}

// restart replaces the process by a new one with empty memory at the same address.
func (i *instance) restart() {
	i.sim.processCount++
	i.member.ID = fmt.Sprintf("%s@%d", i.member.Name, i.sim.processCount)
	i.boot()
	i.sim.logf("%s starts", i.member.ID)
}

// applyRecords takes over newer records. If the member change ranks another instance first for
// the pool, it stops acting for the pool and hands it over.
func (i *instance) applyRecords(records []redwingstall.Record, isComplete bool) {
	_, oldRevision := i.voter.Members()
	i.voter.Learn(i.now(), records, isComplete)
	members, newRevision := i.voter.Members()
	if oldRevision == newRevision || !i.now().Before(i.actsUntil) {
		return
	}
	ranked := membership.Rank(members.Current, pool, "a")
	if len(ranked) == 0 || ranked[0].ID == i.member.ID {
		return
	}
	i.actsUntil = time.Time{}
	next := ranked[0].ID
	i.sim.send("handover to "+next, func() {
		if other := i.sim.instance(next); other != nil {
			other.candidate.TakeOver(other.now(), []string{pool}, newRevision)
		}
	})
}

// beginRound starts a voting round and requests the votes of the other members.
func (i *instance) beginRound() {
	i.voter.Tick(i.now())
	round, candidacy := i.candidate.Begin(i.now(), 0)
	i.round = round
	members, _ := i.voter.Members()
	for _, member := range members.Current {
		if member.ID == i.member.ID {
			continue
		}
		i.sim.send(fmt.Sprintf("%s requests the vote of %s", i.member.ID, member.ID), func() { i.requestVote(round, member.ID, candidacy) })
	}
}

// requestVote lets the voter judge the candidacy and sends the vote back with its records.
func (i *instance) requestVote(round *membership.Round, voter string, candidacy redwingstall.Candidacy) {
	other := i.sim.instance(voter)
	if other == nil || i.sim.isBlocked(candidacy.Candidate, voter) {
		return
	}
	other.voter.Tick(other.now())
	vote := other.voter.Vote(other.now(), candidacy)
	records := other.voter.Records()
	i.sim.send(fmt.Sprintf("%s votes on %s granted=%v", voter, candidacy.Candidate, vote.Granted), func() {
		if i.isCrashed || i.member.ID != candidacy.Candidate || i.sim.isBlocked(voter, candidacy.Candidate) {
			return
		}
		i.applyRecords(records, true)
		round.Add(vote)
	})
}

func (i *instance) finishRound() {
	if i.round != nil {
		i.candidate.Finish(i.now(), i.round)
	}
}

// updateHomeRole starts or ends acting as the home of the pool, by the rules of package home.
func (i *instance) updateHomeRole() {
	mayAct, reason := i.candidate.MayAct(i.now(), pool, "a")
	if i.sim.disabled.skipTransitionWait && reason == membership.ReasonTransition {
		mayAct = true
	}
	switch {
	case mayAct:
		i.actsUntil = i.candidate.Confirmed().Add(lifetime)
		i.sim.homeUpdates++
		i.sim.logf("%s acts until %v", i.member.ID, i.actsUntil.Sub(i.now()))
	case reason != membership.ReasonNotConfirmed:
		i.actsUntil = time.Time{}
	}
}

// sendGrantOrders sends grant orders from any instance with a confirmed majority, whether it is
// the home instance or not: single ownership of keys must not depend on there being one home.
func (i *instance) sendGrantOrders() {
	stored := i.voter.Record(recordName)
	record, err := assignment.DecodeRecord(stored.Value)
	if err != nil {
		panic(err)
	}
	for _, s := range i.sim.servers {
		issuer := i.issuers[s.name]
		if issuer == nil {
			issuer = grant.NewIssuer(lifetime)
			i.issuers[s.name] = issuer
		}
		order, justified := issuer.BuildOrder(service, i.candidate.Confirmed(), record.Grants(s.name))
		if i.sim.disabled.relativeExpiry && justified {
			order.ValidUntil = -1
		}
		i.sim.send(fmt.Sprintf("%s sends a grant order to %s justified=%v %v", i.member.ID, s.name, justified, order.Grants), func() {
			i.applyGrantOrder(s, order, justified)
		})
	}
}

// applyGrantOrder applies an order at the server and sends the response. An order that
// is not justified carries no grants: the server only responds with its boot ID and clock.
func (i *instance) applyGrantOrder(s *server, order redwingstall.GrantOrder, justified bool) {
	if justified {
		if order.ValidUntil < 0 {
			order.ValidUntil = s.clock.read(i.sim.elapsed) + lifetime
		}
		s.table.Grant(order)
		i.sim.grantOrders++
	}
	response := redwingstall.OrderResponse{Boot: s.table.Boot(), Clock: s.clock.read(i.sim.elapsed)}
	i.sim.send(s.name+" responds to "+i.member.ID, func() {
		if issuer := i.issuers[s.name]; issuer != nil {
			issuer.Observe(i.now(), response)
		}
	})
}

// replicate sends the records to the other members and reports whether a blocking set of them
// has acknowledged the revision of the named record.
func (i *instance) replicate(name string, revision redwingstall.Revision) bool {
	if !i.canReachStore() {
		return false
	}
	i.applyRecords(i.sim.listStore(), true)
	members, _ := i.voter.Members()
	acknowledged := map[string]bool{i.member.ID: i.voter.Record(name).Revision >= revision}
	records := i.voter.Records()
	for _, member := range append(members.Current, members.Previous...) {
		other := i.sim.instance(member.ID)
		isReachable := other != nil && !i.sim.isBlocked(i.member.ID, member.ID) && i.sim.chooser.choose("reach", 8) != 0
		if !isReachable {
			continue
		}
		other.applyRecords(records, true)
		acknowledged[member.ID] = other.voter.Record(name).Revision >= revision && !i.sim.isBlocked(member.ID, i.member.ID)
	}
	return members.HasBlockingSet(acknowledged) || i.sim.disabled.skipAcknowledgement
}

// updateAssignment runs one step of the instance's mover, on any instance. The resulting write
// is delayed like a message, since the mover may be paused before it.
func (i *instance) updateAssignment() {
	stored := i.voter.Record(recordName)
	if stored.Revision != 0 && !i.replicate(recordName, stored.Revision) {
		return
	}
	record, err := assignment.DecodeRecord(stored.Value)
	if err != nil {
		panic(err)
	}
	i.mover.Acknowledge(i.now(), record)
	i.sendReleases(record)
	view := assignment.View{
		Revision:  stored.Revision,
		Servers:   map[string]assignment.ServerView{},
		Shards:    shards,
		Lapsed:    i.mover.Lapsed(i.now(), record),
		Unmovable: i.mover.Unmovable(i.now(), record),
		MaxMoves:  2,
	}
	for _, s := range i.sim.servers {
		view.Servers[s.name] = assignment.ServerView{Slots: 4, Eligible: i.sim.eligibleServers[s.name], Lost: i.sim.lostServers[s.name]}
	}
	plan := assignment.MakePlan(record, view)
	if plan.IsEmpty() {
		return
	}
	value, err := plan.Record.Encode()
	if err != nil {
		panic(err)
	}
	i.sim.send(i.member.ID+" writes the assignment", func() {
		if revision, swapped := i.compareAndSwap(recordName, stored.Revision, value); swapped {
			i.sim.assignmentWrites++
			i.applyRecords([]redwingstall.Record{{Name: recordName, Revision: revision, Value: value}}, false)
		}
	})
}

// sendReleases asks servers that check fences to release their revoked shards.
func (i *instance) sendReleases(record assignment.Record) {
	for name, grants := range i.mover.PendingReleases(i.now(), record) {
		for _, s := range i.sim.servers {
			issuer := i.issuers[s.name]
			if s.name != name || !s.checksFences || issuer == nil || issuer.Boot() == "" {
				continue
			}
			order := redwingstall.ReleaseOrder{Service: service, Boot: issuer.Boot(), Grants: grants}
			i.sim.send(i.member.ID+" sends a release order to "+name, func() { i.applyRelease(s, order) })
		}
	}
}

func (i *instance) applyRelease(s *server, order redwingstall.ReleaseOrder) {
	refused := s.table.Release(order)
	if len(refused) > 0 {
		return
	}
	i.sim.send(s.name+" acknowledges the release", func() {
		for _, released := range order.Grants {
			i.mover.AcknowledgeRelease(released.Shard, released.Fence)
		}
	})
}

// readStore reads the member record, as a watch does, or lists all records.
func (i *instance) readStore() {
	switch {
	case !i.canReachStore():
	case i.sim.chooser.choose("watch", 2) == 0:
		i.applyRecords([]redwingstall.Record{i.sim.store[membership.RecordName]}, false)
	default:
		i.applyRecords(i.sim.listStore(), true)
	}
}

// updateMembers adds the instance to the member record, settles a change of members or removes
// unresponsive members. Any instance may do so.
func (i *instance) updateMembers() {
	if !i.canReachStore() {
		return
	}
	members, revision := i.voter.Members()
	switch {
	case !members.Has(i.member.ID):
		i.join()
	case !members.IsSettled():
		if i.replicate(membership.RecordName, revision) {
			i.writeMembers(members.Settle(revision), revision)
		}
	case i.voter.IsChangeComplete(i.now()):
		i.removeUnresponsive(members, revision)
	}
}

func (i *instance) join() {
	i.applyRecords(i.sim.listStore(), true)
	members, revision := i.voter.Members()
	switch {
	case members.Has(i.member.ID):
	case !members.IsSettled() && len(members.Predecessors(i.member)) > 0:
		i.writeMembers(members.WithGone(revision, members.Predecessors(i.member)...), revision)
	case !members.IsSettled():
		if i.replicate(membership.RecordName, revision) {
			i.writeMembers(members.Settle(revision), revision)
		}
	default:
		i.writeMembers(members.With(i.member, revision), revision)
	}
}

func (i *instance) removeUnresponsive(members membership.MemberRecord, revision redwingstall.Revision) {
	unresponsive := i.voter.ExcludedFor(i.now(), 2*time.Second)
	if len(unresponsive) == 0 {
		return
	}
	i.writeMembers(members.Without(revision, unresponsive...), revision)
}

func (i *instance) writeMembers(next membership.MemberRecord, old redwingstall.Revision) {
	value, err := next.Encode()
	if err != nil {
		panic(err)
	}
	i.sim.send(i.member.ID+" writes the members", func() {
		_, swapped := i.compareAndSwap(membership.RecordName, old, value)
		if swapped && i.canReachStore() {
			i.applyRecords(i.sim.listStore(), true)
		}
	})
}
