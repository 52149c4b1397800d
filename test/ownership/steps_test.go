package ownership_test

import (
	"fmt"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/assignment"
	"github.com/redwingstall/redwingstall/pkg/grant"
	"github.com/redwingstall/redwingstall/pkg/membership"
)

// step takes one step of the run. Most steps move the system on; some hurt it.
func (w *world) step() {
	i := w.instances[w.c.choose("instance", len(w.instances))]
	if i.dead {
		w.advance(200)
		return
	}
	switch w.c.choose("step", 24) {
	case 0, 1, 2:
		w.advance(400)
	case 3:
		w.advance(3000)
	case 4, 5, 6:
		i.beginRound()
	case 7, 8, 9, 10, 11, 12:
		w.deliver()
	case 13, 14:
		i.finishRound()
	case 15, 16:
		i.orderGrants()
	case 17, 18:
		i.move()
	case 19:
		i.tendMembers()
	case 20:
		i.act()
	case 21:
		i.readStore()
	case 22:
		w.hurt(i)
		w.work(w.c.choose("rounds", 8))
	case 23:
		w.operate()
	}
	w.check()
}

// calm mends everything and lets the system work for a while, so that runs get
// somewhere.
func (w *world) calm() {
	w.cut = map[[2]string]bool{}
	w.storeCut = map[string]bool{}
	w.storeUp = true
	w.work(6)
}

// work lets every instance that a choice does not pause do its periodic work,
// under the cuts and outages that there are.
func (w *world) work(rounds int) {
	for range rounds {
		for _, i := range w.instances {
			if i.dead || w.c.choose("pause", 8) == 0 {
				continue
			}
			i.tendMembers()
			i.beginRound()
			w.deliverAll()
			i.finishRound()
			i.move()
			i.orderGrants()
			w.deliverAll()
			i.act()
			w.check()
		}
		w.advance(400)
	}
}

func (w *world) deliverAll() {
	for n := len(w.flight); n > 0 || len(w.flight) > 0; n-- {
		m := w.flight[0]
		w.flight = w.flight[1:]
		m.deliver()
		w.check()
	}
}

func (w *world) advance(most int) {
	w.time += time.Duration(1+w.c.choose("millis", most)) * time.Millisecond
	w.check()
}

func (w *world) operate() {
	s := w.servers[w.c.choose("server", len(w.servers))]
	if w.c.choose("kind", 2) == 0 {
		w.eligible[s.name] = !w.eligible[s.name]
		return
	}
	w.lost[s.name] = !w.lost[s.name]
}

func (w *world) hurt(i *instance) {
	switch w.c.choose("hurt", 10) {
	case 0:
		w.storeUp = !w.storeUp
		w.log("store up: %v", w.storeUp)
	case 1:
		other := w.instances[w.c.choose("other", len(w.instances))]
		key := [2]string{i.member.ID, other.member.ID}
		w.cut[key] = !w.cut[key]
	case 2:
		s := w.servers[w.c.choose("server", len(w.servers))]
		s.restart()
		w.log("%s starts anew", s.name)
	case 3:
		if len(w.instances) < 6 {
			w.startInstance()
		}
	case 4:
		i.kill()
	case 5:
		i.restart()
	case 6, 7:
		w.split()
	case 9:
		for _, each := range w.instances {
			if !each.dead && w.c.choose("anew", 4) != 0 {
				each.restart()
			}
		}
	case 8:
		w.storeCut[i.member.Name] = !w.storeCut[i.member.Name]
	}
}

// split cuts the instances into two sides, of which one may lose the store too.
func (w *world) split() {
	side := map[string]int{}
	without := w.c.choose("without", 4)
	for _, i := range w.instances {
		side[i.member.Name] = w.c.choose("side", 2)
		w.storeCut[i.member.Name] = side[i.member.Name] == without
	}
	for _, a := range w.instances {
		for _, b := range w.instances {
			w.cut[[2]string{a.member.ID, b.member.ID}] = side[a.member.Name] != side[b.member.Name]
		}
	}
	w.log("split %v, side %d without store", side, without)
}

func (i *instance) kill() {
	alive := 0
	for _, other := range i.w.instances {
		if !other.dead {
			alive++
		}
	}
	if alive > 2 {
		i.dead = true
		i.w.log("%s dies", i.member.ID)
	}
}

// restart replaces the process by one with an empty memory at its address.
func (i *instance) restart() {
	i.w.started++
	i.member.ID = fmt.Sprintf("%s@%d", i.member.Name, i.w.started)
	i.boot()
	i.w.log("%s starts", i.member.ID)
}

// learn takes records over and hands the pool over if another comes first.
func (i *instance) learn(records []redwingstall.Record, complete bool) {
	_, before := i.voter.Members()
	i.voter.Learn(i.now(), records, complete)
	members, after := i.voter.Members()
	if before == after || !i.now().Before(i.until) {
		return
	}
	ranked := membership.Rank(members.Current, pool, "a")
	if len(ranked) == 0 || ranked[0].ID == i.member.ID {
		return
	}
	i.until = time.Time{}
	next := ranked[0].ID
	i.w.send("handover to "+next, func() {
		if other := i.w.instance(next); other != nil {
			other.candidate.TakeOver(other.now(), []string{pool}, after)
		}
	})
}

func (i *instance) beginRound() {
	i.voter.Tick(i.now())
	round, candidacy := i.candidate.Begin(i.now(), 0)
	i.round = round
	members, _ := i.voter.Members()
	for _, member := range members.Current {
		if member.ID == i.member.ID {
			continue
		}
		i.w.send(fmt.Sprintf("%s asks %s", i.member.ID, member.ID), func() { i.askVote(round, member.ID, candidacy) })
	}
}

func (i *instance) askVote(round *membership.Round, voter string, candidacy redwingstall.Candidacy) {
	other := i.w.instance(voter)
	if other == nil || i.w.isCut(candidacy.Candidate, voter) {
		return
	}
	other.voter.Tick(other.now())
	vote := other.voter.Vote(other.now(), candidacy)
	records := other.voter.Records()
	i.w.send(fmt.Sprintf("%s answers %s granted=%v", voter, candidacy.Candidate, vote.Granted), func() {
		if i.dead || i.member.ID != candidacy.Candidate || i.w.isCut(voter, candidacy.Candidate) {
			return
		}
		i.learn(records, true)
		round.Add(vote)
	})
}

func (i *instance) finishRound() {
	if i.round != nil {
		i.candidate.Finish(i.now(), i.round)
	}
}

// act follows the right to the pool as package home does.
func (i *instance) act() {
	may, reason := i.candidate.MayAct(i.now(), pool, "a")
	if i.w.faults.noTransition && reason == membership.ReasonTransition {
		may = true
	}
	switch {
	case may:
		i.until = i.candidate.Confirmed().Add(lifetime)
		i.w.homes++
		i.w.log("%s acts until %v", i.member.ID, i.until.Sub(i.now()))
	case reason != membership.ReasonNotConfirmed:
		i.until = time.Time{}
	}
}

// orderGrants sends grant orders on any confirmed right, home or not: the
// ownership of keys must not rest on there being one home.
func (i *instance) orderGrants() {
	stored := i.voter.Record(recordName)
	record, err := assignment.DecodeRecord(stored.Value)
	if err != nil {
		panic(err)
	}
	for _, s := range i.w.servers {
		issuer := i.issuers[s.name]
		if issuer == nil {
			issuer = grant.NewIssuer(lifetime)
			i.issuers[s.name] = issuer
		}
		order, justified := issuer.BuildOrder(service, i.candidate.Confirmed(), record.Grants(s.name))
		if i.w.faults.relativeOrder && justified {
			order.ValidUntil = -1
		}
		i.w.send(fmt.Sprintf("%s orders %s justified=%v %v", i.member.ID, s.name, justified, order.Grants), func() {
			i.takeOrder(s, order, justified)
		})
	}
}

func (i *instance) takeOrder(s *server, order redwingstall.GrantOrder, justified bool) {
	if justified {
		if order.ValidUntil < 0 {
			order.ValidUntil = s.clock.at(i.w.time) + lifetime
		}
		s.table.Grant(order)
		i.w.grants++
	}
	answer := redwingstall.OrderResponse{Boot: s.table.Boot(), Clock: s.clock.at(i.w.time)}
	i.w.send(s.name+" answers "+i.member.ID, func() {
		if issuer := i.issuers[s.name]; issuer != nil {
			issuer.Observe(i.now(), answer)
		}
	})
}

// spread tells the others of a record and reports whether a blocking set knows.
func (i *instance) spread(name string, revision redwingstall.Revision) bool {
	if !i.reachesStore() {
		return false
	}
	i.learn(i.w.listStore(), true)
	members, _ := i.voter.Members()
	acknowledged := map[string]bool{i.member.ID: i.voter.Record(name).Revision >= revision}
	records := i.voter.Records()
	for _, member := range append(members.Current, members.Previous...) {
		other := i.w.instance(member.ID)
		isReached := other != nil && !i.w.isCut(i.member.ID, member.ID) && i.w.c.choose("reach", 8) != 0
		if !isReached {
			continue
		}
		other.learn(records, true)
		acknowledged[member.ID] = other.voter.Record(name).Revision >= revision && !i.w.isCut(member.ID, i.member.ID)
	}
	return members.HasBlockingSet(acknowledged) || i.w.faults.noAcknowledge
}

// move is one step of a mover, on any instance. The write that it decides on is
// under way like a message: the mover may be paused before it.
func (i *instance) move() {
	stored := i.voter.Record(recordName)
	if stored.Revision != 0 && !i.spread(recordName, stored.Revision) {
		return
	}
	record, err := assignment.DecodeRecord(stored.Value)
	if err != nil {
		panic(err)
	}
	i.mover.Acknowledge(i.now(), record)
	i.release(record)
	view := assignment.View{
		Revision:  stored.Revision,
		Servers:   map[string]assignment.ServerView{},
		Shards:    shards,
		Lapsed:    i.mover.Lapsed(i.now(), record),
		Unmovable: i.mover.Unmovable(i.now(), record),
		MaxMoves:  2,
	}
	for _, s := range i.w.servers {
		view.Servers[s.name] = assignment.ServerView{Slots: 4, Eligible: i.w.eligible[s.name], Lost: i.w.lost[s.name]}
	}
	plan := assignment.MakePlan(record, view)
	if plan.IsEmpty() {
		return
	}
	value, err := plan.Record.Encode()
	if err != nil {
		panic(err)
	}
	i.w.send(i.member.ID+" writes the assignment", func() {
		if revision, swapped := i.compareAndSwap(recordName, stored.Revision, value); swapped {
			i.w.moves++
			i.learn([]redwingstall.Record{{Name: recordName, Revision: revision, Value: value}}, false)
		}
	})
}

func (i *instance) release(record assignment.Record) {
	for name, grants := range i.mover.PendingReleases(i.now(), record) {
		for _, s := range i.w.servers {
			issuer := i.issuers[s.name]
			if s.name != name || !s.checks || issuer == nil || issuer.Boot() == "" {
				continue
			}
			order := redwingstall.ReleaseOrder{Service: service, Boot: issuer.Boot(), Grants: grants}
			i.w.send(i.member.ID+" releases at "+name, func() { i.takeRelease(s, order) })
		}
	}
}

func (i *instance) takeRelease(s *server, order redwingstall.ReleaseOrder) {
	refused := s.table.Release(order)
	if len(refused) > 0 {
		return
	}
	i.w.send(s.name+" has released", func() {
		for _, released := range order.Grants {
			i.mover.AcknowledgeRelease(released.Shard, released.Fence)
		}
	})
}

func (i *instance) readStore() {
	switch {
	case !i.reachesStore():
	case i.w.c.choose("watch", 2) == 0:
		i.learn([]redwingstall.Record{i.w.store[membership.RecordName]}, false)
	default:
		i.learn(i.w.listStore(), true)
	}
}

// tendMembers joins, settles or removes, on any instance.
func (i *instance) tendMembers() {
	if !i.reachesStore() {
		return
	}
	members, revision := i.voter.Members()
	switch {
	case !members.Has(i.member.ID):
		i.join()
	case !members.IsSettled():
		if i.spread(membership.RecordName, revision) {
			i.writeMembers(members.Settle(revision), revision)
		}
	case i.voter.IsChangeComplete(i.now()):
		i.removeSilent(members, revision)
	}
}

func (i *instance) join() {
	i.learn(i.w.listStore(), true)
	members, revision := i.voter.Members()
	switch {
	case members.Has(i.member.ID):
	case !members.IsSettled() && len(members.Predecessors(i.member)) > 0:
		i.writeMembers(members.WithGone(revision, members.Predecessors(i.member)...), revision)
	case !members.IsSettled():
		if i.spread(membership.RecordName, revision) {
			i.writeMembers(members.Settle(revision), revision)
		}
	default:
		i.writeMembers(members.With(i.member, revision), revision)
	}
}

func (i *instance) removeSilent(members membership.MemberRecord, revision redwingstall.Revision) {
	silent := i.voter.ExcludedFor(i.now(), 2*time.Second)
	if len(silent) == 0 {
		return
	}
	i.writeMembers(members.Without(revision, silent...), revision)
}

func (i *instance) writeMembers(next membership.MemberRecord, old redwingstall.Revision) {
	value, err := next.Encode()
	if err != nil {
		panic(err)
	}
	i.w.send(i.member.ID+" writes the members", func() {
		_, swapped := i.compareAndSwap(membership.RecordName, old, value)
		if swapped && i.reachesStore() {
			i.learn(i.w.listStore(), true)
		}
	})
}
