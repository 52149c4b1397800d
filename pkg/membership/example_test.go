package membership_test

import (
	"fmt"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/membership"
)

// A single member votes for itself, and may act for one lifetime.
func Example() {
	timing := membership.Timing{Lifetime: 1500 * time.Millisecond, ExcludeAfter: time.Second, RateBound: 0.001}
	self := membership.Member{ID: "entry1@a", Name: "entry1", FailureDomain: "zaandam", Peer: "192.0.2.1:8080"}
	value, _ := membership.MemberRecord{Current: []membership.Member{self}}.Encode()
	began := time.Unix(0, 0)

	voter := membership.NewVoter(self.ID, timing)
	voter.Learn(began, []redwingstall.Record{{Name: membership.RecordName, Revision: 1, Value: value}}, true)
	candidate := membership.NewCandidate(voter, timing)

	now := began.Add(timing.Wait())
	round, _ := candidate.Begin(now, 0)
	fmt.Println(candidate.Finish(now, round))
	may, _ := candidate.MayAct(now.Add(time.Second), "pool/packs", "zaandam")
	fmt.Println(may)
	may, reason := candidate.MayAct(now.Add(2*time.Second), "pool/packs", "zaandam")
	fmt.Println(may, reason)
	// Output:
	// true
	// true
	// false notConfirmed
}
