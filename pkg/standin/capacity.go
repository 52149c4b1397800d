package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/assignment"
	"github.com/redwingstall/redwingstall/pkg/journal"
	"github.com/redwingstall/redwingstall/pkg/membership"
	"github.com/redwingstall/redwingstall/pkg/peer/peerv1"
	"github.com/redwingstall/redwingstall/pkg/templates"
)

// lineFit is the line constant + perUnit*n through measured points.
type lineFit struct {
	constant float64
	perUnit  float64
	// residual is the largest relative deviation of a point from the line.
	residual float64
}

// fitLine fits a line to the points by least squares.
func fitLine(sizes []int, values []float64) lineFit {
	n, sx, sy, sxx, sxy := float64(len(sizes)), 0.0, 0.0, 0.0, 0.0
	for i, size := range sizes {
		x := float64(size)
		sx += x
		sy += values[i]
		sxx += x * x
		sxy += x * values[i]
	}
	f := lineFit{}
	f.perUnit = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	f.constant = (sy - f.perUnit*sx) / n
	for i, size := range sizes {
		line := f.constant + f.perUnit*float64(size)
		f.residual = max(f.residual, math.Abs(line-values[i])/values[i])
	}
	return f
}

// benchmark measures one operation of the product at several sizes.
type benchmark struct {
	name  string
	unit  string
	sizes []int
	// measure returns the encoded size in bytes and the mean time in seconds of one operation.
	measure func(size int) (bytes int, seconds float64)
}

// MeasureCapacity runs the benchmarks and prints the fitted line of each as a Markdown table.
func MeasureCapacity(out io.Writer) {
	fmt.Fprintln(out, "| part | unit | sizes | bytes | residual | µs | residual |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|")
	for _, p := range benchmarks() {
		bytes, micros := []float64{}, []float64{}
		for _, size := range p.sizes {
			b, seconds := p.measure(size)
			bytes = append(bytes, float64(b))
			micros = append(micros, seconds*1e6)
		}
		b, t := fitLine(p.sizes, bytes), fitLine(p.sizes, micros)
		fmt.Fprintf(out, "| %s | %s | %v | %.0f + %.2f n | %.1f %% | %.1f + %.4f n | %.0f %% |\n",
			p.name, p.unit, p.sizes, b.constant, b.perUnit, 100*b.residual, t.constant, t.perUnit, 100*t.residual)
	}
}

func benchmarks() []benchmark {
	return []benchmark{
		{"assignment record: decode, plan, encode", "shards", []int{128, 512, 1024, 2048, 4096}, measureAssignment},
		{"configuration document: decode, render, check", "backend servers", []int{40, 100, 400, 1000}, measureDocument},
		{"grant order: make and encode", "grants of a server", []int{10, 40, 160, 640}, measureGrants},
		{"vote: judge and encode", "control records", []int{4, 16, 64, 256}, measureVote},
		{"voting round: finish", "members", []int{3, 5, 9, 11, 15}, measureRound},
		{"journal bucket: decode, change, encode", "entries", []int{100, 400, 1000, 2000}, measureBucket},
	}
}

// benchmarkDuration is the minimum duration of one measurement.
const benchmarkDuration = 150 * time.Millisecond

// meanSeconds returns the mean time of a call in seconds, after one call as warm-up.
func meanSeconds(call func()) float64 {
	call()
	start := time.Now()
	calls := 0
	for time.Since(start) < benchmarkDuration {
		call()
		calls++
	}
	return time.Since(start).Seconds() / float64(calls)
}

// newAssignment returns the initial assignment of the shards to the servers, and its view.
func newAssignment(shards, servers int) (assignment.Record, assignment.View) {
	view := assignment.View{Shards: shards, Revision: 1_000_000, Servers: map[string]assignment.ServerView{}}
	for n := range servers {
		view.Servers[fmt.Sprintf("catalogue-%d", n)] = assignment.ServerView{Slots: 4, Eligible: true}
	}
	return assignment.MakePlan(assignment.Record{}, view).Record, view
}

const shardsPerServer = 10

func measureAssignment(shards int) (int, float64) {
	record, view := newAssignment(shards, shards/shardsPerServer)
	value, err := record.Encode()
	if err != nil {
		panic(err)
	}
	seconds := meanSeconds(func() {
		decoded, err := assignment.DecodeRecord(value)
		if err != nil {
			panic(err)
		}
		_, _ = assignment.MakePlan(decoded, view).Record.Encode()
	})
	return len(value), seconds
}

func measureDocument(servers int) (int, float64) {
	body := "[[services]]\nname = \"s\"\nkind = \"replicated\"\n"
	for n := range servers {
		body += fmt.Sprintf("[[services.servers]]\nname = \"s-%d\"\naddress = \"10.0.%d.%d:8080\"\n"+
			"failureDomain = \"d%d\"\nslots = 4\nconnections = 100\n", n, n/250, n%250, n%10)
	}
	document := templates.Document{
		Templates: map[string]templates.Template{"t": {Name: "t", Body: body}},
		Accounts:  map[string]templates.Account{"a": {Name: "a", Template: "t"}},
	}
	value, err := document.Encode()
	if err != nil {
		panic(err)
	}
	seconds := meanSeconds(func() {
		decoded, err := templates.DecodeDocument(value)
		if err != nil {
			panic(err)
		}
		if err := decoded.Check(time.Now(), time.Minute, time.Second, false); err != nil {
			panic(err)
		}
	})
	return len(value), seconds
}

func measureGrants(grants int) (int, float64) {
	record, _ := newAssignment(grants, 1)
	size := 0
	seconds := meanSeconds(func() {
		order := redwingstall.GrantOrder{Service: "catalogue", Boot: "0123456789abcdef", Grants: record.Grants("catalogue-0")}
		value, err := json.Marshal(order)
		if err != nil {
			panic(err)
		}
		size = len(value)
	})
	return size, seconds
}

func capacityMembers(n int) membership.MemberRecord {
	record := membership.MemberRecord{}
	for i := range n {
		id := fmt.Sprintf("entry%d@0123abcd", i)
		record.Current = append(record.Current, membership.Member{ID: id, Name: id, FailureDomain: "a", Peer: "10.0.0.1:8080"})
	}
	return record
}

func capacityVoter(self string, members, records int) *membership.Voter {
	value, err := capacityMembers(members).Encode()
	if err != nil {
		panic(err)
	}
	known := []redwingstall.Record{{Name: membership.RecordName, Revision: 1, Value: value}}
	for n := range records {
		name := assignment.RecordName("zaanstreek", fmt.Sprintf("service-%d", n))
		known = append(known, redwingstall.Record{Name: name, Revision: 1})
	}
	voter := membership.NewVoter(self, membership.Timing{Lifetime: time.Second, ExcludeAfter: time.Hour})
	voter.Learn(time.Now(), known, true)
	return voter
}

func measureVote(records int) (int, float64) {
	voter := capacityVoter("entry0@0123abcd", 10, records)
	candidacy := redwingstall.Candidacy{Candidate: "entry1@0123abcd", MemberRevision: 1, HasReachedMajority: true}
	size := 0
	seconds := meanSeconds(func() {
		vote := voter.Vote(time.Now(), candidacy)
		revisions := map[string]int64{}
		for name, revision := range vote.Revisions {
			revisions[name] = int64(revision)
		}
		encoded, err := proto.Marshal(&peerv1.ConfirmResponse{Granted: vote.Granted, Revisions: revisions, Voter: vote.Voter})
		if err != nil {
			panic(err)
		}
		size = len(encoded)
	})
	return size, seconds
}

func measureRound(members int) (int, float64) {
	voters := []*membership.Voter{}
	for _, id := range capacityMembers(members).IDs() {
		voters = append(voters, capacityVoter(id, members, 2))
	}
	candidate := membership.NewCandidate(voters[0], membership.Timing{Lifetime: time.Second, ExcludeAfter: time.Hour})
	seconds := meanSeconds(func() {
		now := time.Now()
		round, candidacy := candidate.Begin(now, 1)
		for _, voter := range voters[1:] {
			round.Add(voter.Vote(now, candidacy))
		}
		if !candidate.Finish(now, round) {
			panic("capacity: the voting round did not confirm the candidate")
		}
	})
	value, err := capacityMembers(members).Encode()
	if err != nil {
		panic(err)
	}
	return len(value), seconds
}

func measureBucket(entries int) (int, float64) {
	bucket := journal.Bucket{Entries: map[string]journal.Entry{}}
	for n := range entries {
		key := fmt.Sprintf("%08d-0123-4567-89ab-cdef01234567", n)
		bucket.Entries[key] = journal.Entry{
			State: journal.EntryCompleted, Digest: fmt.Sprintf("%064d", n), Attempt: "entry1@0123abcd#123456",
			Owner: "entry1@0123abcd", Path: "POST household-1234", Started: time.Now(), Expires: time.Now(), Changed: time.Now(),
			Response: &journal.Response{Status: 200, Header: map[string]string{"Content-Type": "text/plain"}, Body: make([]byte, 64)},
		}
	}
	value, err := bucket.Encode()
	if err != nil {
		panic(err)
	}
	seconds := meanSeconds(func() {
		decoded, err := journal.DecodeBucket(value)
		if err != nil {
			panic(err)
		}
		_, _ = decoded.Encode()
	})
	return len(value), seconds
}
