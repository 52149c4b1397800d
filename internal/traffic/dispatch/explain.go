package dispatch

import (
	"cmp"
	"context"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/access/accounts"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
	"github.com/redwingstall/redwingstall/internal/routing/placement"
)

// Question describes a request that is explained, and not sent.
type Question struct {
	Method string `json:"method"`
	Host   string `json:"host"`
	// Target is the path, with a query if there is one.
	Target string `json:"path"`
	// Key is that of a request to a keyed service, or nil.
	Key *int `json:"key,omitempty"`
	// Account is the name of a client account, and APIKey a key of one. At most one of them is set.
	Account string `json:"account,omitempty"`
	APIKey  string `json:"apiKey,omitempty"`
	// TimeoutMillis is the timeout that the client states, or zero.
	TimeoutMillis int64 `json:"timeoutMillis,omitempty"`
}

// Verdicts of an explanation.
const (
	VerdictSend   = "send"
	VerdictWait   = "wait"
	VerdictRefuse = "refuse"
)

// ReasonUnknownAccount means that an explained request names an account that is not configured.
const ReasonUnknownAccount = "unknownAccount"

// Explanation is where an instance would send a request now, and why. Times are in milliseconds.
type Explanation struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failureDomain"`
	// View and Configuration are the versions of what the instance knows, and KnowledgeMillis how
	// long ago all of it was confirmed, or -1.
	View            int64 `json:"view"`
	Configuration   int64 `json:"configuration"`
	KnowledgeMillis int64 `json:"knowledgeMillis"`

	Verdict string `json:"verdict"`
	// Reason and Status are those of the response that the client would get from the router. A
	// request that waits gets it if the wait is in vain.
	Reason string `json:"reason,omitempty"`
	Status int    `json:"status,omitempty"`
	// RetryAfterMillis is what the client would be told. It is drawn at random for each request.
	RetryAfterMillis int64  `json:"retryAfterMillis,omitempty"`
	WaitMillis       int64  `json:"waitMillis,omitempty"`
	Server           string `json:"server,omitempty"`

	Route    string `json:"route,omitempty"`
	Kind     string `json:"kind,omitempty"`
	Service  string `json:"service,omitempty"`
	Account  string `json:"account,omitempty"`
	Priority int    `json:"priority"`
	// IsReturn is set if the client counts as one that was refused before.
	IsReturn            bool                `json:"isReturn"`
	ObjectiveLeftMillis int64               `json:"objectiveLeftMillis"`
	DeadlineLeftMillis  int64               `json:"deadlineLeftMillis"`
	MaxAttempts         int                 `json:"maxAttempts"`
	RetriesLeft         int                 `json:"retriesLeft"`
	IsQuotaLimited      bool                `json:"isQuotaLimited"`
	IsQuotaKnown        bool                `json:"isQuotaKnown"`
	Owner               *ExplainedOwner     `json:"owner,omitempty"`
	Admission           *ExplainedAdmission `json:"admission,omitempty"`
	Candidates          []ExplainedServer   `json:"candidates"`
	UnlistedCandidates  int                 `json:"unlistedCandidates"`
}

// ExplainedOwner is what the owner map says about the key.
type ExplainedOwner struct {
	Server string `json:"server"`
	State  string `json:"state"`
	// Absence is why there is no owner to send to.
	Absence string `json:"absence,omitempty"`
}

// ExplainedAdmission is a decision by value and its inputs.
type ExplainedAdmission struct {
	Cause               string  `json:"cause,omitempty"`
	Share               float64 `json:"share"`
	Room                float64 `json:"room"`
	Demand              float64 `json:"demand"`
	Before              float64 `json:"before"`
	CompletionMillis    int64   `json:"completionMillis"`
	ReportAgeMillis     int64   `json:"reportAgeMillis"`
	IsKnowledgeOutdated bool    `json:"isKnowledgeOutdated"`
}

// ExplainedServer is a server that the request could go to.
type ExplainedServer struct {
	Server        string `json:"server"`
	FailureDomain string `json:"failureDomain"`
	IsChosen      bool   `json:"isChosen"`
	// Excluded is why the request does not go there.
	Excluded         string  `json:"excluded,omitempty"`
	Queue            float64 `json:"queue"`
	Slots            int     `json:"slots"`
	CompletionMillis int64   `json:"completionMillis"`
	FailureRate      float64 `json:"failureRate"`
	// CostMillis is what servers are compared by, or zero if the choice did not compare it.
	CostMillis int64 `json:"costMillis,omitempty"`
	// ReportAgeMillis is the age of the newest report of another instance on the server, or -1.
	ReportAgeMillis int64 `json:"reportAgeMillis"`
	HasConnection   bool  `json:"hasConnection"`
	// LimitPerSecond is the limit that the server has named, or zero, and LimitFreeMillis when a
	// permit may be free.
	LimitPerSecond  float64 `json:"limitPerSecond,omitempty"`
	LimitFreeMillis int64   `json:"limitFreeMillis,omitempty"`
}

// maxExplained bounds the servers that an explanation lists. It is above the largest service that
// the capacity page names for one instance of the smallest size.
const maxExplained = 300

// Explain returns where a request would go now, and why. It sends nothing, and changes nothing that
// later decisions depend on. Random returns numbers in [0, 1).
func (d *Dispatcher) Explain(q Question, random func() float64) Explanation {
	now, s := time.Now(), d.View.Snapshot()
	path, _, _ := strings.Cut(q.Target, "?")
	j := &job{
		request: Request{Method: q.Method, Target: q.Target, Path: path, Host: q.Host, Header: http.Header{}, Arrived: now},
		meta: redwingstall.RequestMeta{
			Credential: q.APIKey, HasCredential: q.APIKey != "", ClientTimeout: time.Duration(q.TimeoutMillis) * time.Millisecond,
		},
		triedServers: map[string]bool{},
		preview:      &preview{random: random, evaluated: map[string]*choice{}},
	}
	if q.Key != nil {
		j.meta.Key, j.meta.HasKey = *q.Key, true
	}
	e := Explanation{Instance: d.InstanceName, FailureDomain: d.FailureDomain, View: s.Sequence, Verdict: VerdictRefuse, Candidates: []ExplainedServer{}}
	if s.Config != nil {
		e.Configuration = s.Config.Version
	}
	if q.Account != "" {
		if j.preview.account = findAccount(s, q.Account); j.preview.account == nil {
			e.Reason = ReasonUnknownAccount
			return e
		}
	}
	e.KnowledgeMillis = -1
	if age := d.knowledgeAge(now, d.View.ConfirmedAt()); age != math.MaxInt64 {
		e.KnowledgeMillis = age.Milliseconds()
	}
	answer, reason, isReady := d.prepare(j)
	e.describe(d, j, now)
	if !isReady {
		e.Reason, e.Status, e.RetryAfterMillis = reason, answer.Status, j.preview.retryAfter.Round(time.Millisecond).Milliseconds()
		if j.preview.accessCause != "" {
			e.Reason += ": " + j.preview.accessCause
		}
		return e
	}
	c, rejected := (*choice)(nil), rejection{}
	isPassed := false
	if rejected, isPassed = d.passQuarantine(context.Background(), j); isPassed {
		c, rejected = d.choose(context.Background(), j)
	}
	e.decide(d, j, c, rejected)
	e.list(d, s, j, c, now)
	return e
}

// findAccount returns an account of the configuration by name, or nil.
func findAccount(s *view.Snapshot, name string) *accounts.Account {
	if s.Config == nil {
		return nil
	}
	for _, a := range s.Config.Accounts {
		if a.Name == name {
			return &accounts.Account{Name: a.Name, Priority: a.Priority, HasPriority: a.HasPriority, Rate: a.Rate, Burst: a.Burst}
		}
	}
	return nil
}

// describe adds what is known of the request before a server is chosen.
func (e *Explanation) describe(d *Dispatcher, j *job, now time.Time) {
	if j.route == nil {
		return
	}
	e.Route, e.Kind, e.MaxAttempts = j.route.Name, string(j.route.Kind), j.route.MaxAttempts
	e.Account, e.Priority = j.access.name(), j.priority
	e.IsQuotaLimited = d.Quota != nil && j.access.account != nil && j.access.account.Rate > 0
	e.IsQuotaKnown = j.preview.isQuotaKnown
	if j.service == "" {
		return
	}
	e.Service, e.IsReturn = j.service, j.isClientRetry
	e.ObjectiveLeftMillis, e.DeadlineLeftMillis = j.latencyTarget.Sub(now).Milliseconds(), j.deadline.Sub(now).Milliseconds()
	e.RetriesLeft = d.Budget.Left(now, j.service, len(d.View.Snapshot().Peers), 0)
}

// decide adds the choice, or why there is none.
func (e *Explanation) decide(d *Dispatcher, j *job, c *choice, rejected rejection) {
	decided := c
	if c == nil {
		decided = rejected.best
		e.Reason, e.Status = rejected.reason, http.StatusServiceUnavailable
		e.RetryAfterMillis = d.toldRetryAfter(j, rejected).Round(time.Millisecond).Milliseconds()
		if wait := j.preview.ownerWait; wait > 0 {
			e.Verdict, e.WaitMillis = VerdictWait, wait.Milliseconds()
		}
	} else {
		e.Verdict, e.Server = VerdictSend, c.server.ID
		if d.isLimited(c.server) {
			// The coordinator of the server's limit decides on the permit, and is not asked.
			e.Verdict, e.WaitMillis = VerdictWait, d.maxPermitWait(j, c, time.Now()).Milliseconds()
			e.Reason, e.Status = ReasonServerLimit, http.StatusServiceUnavailable
		}
	}
	if decided != nil && decided.isDecided {
		e.Admission = &ExplainedAdmission{
			Cause: string(decided.decision.Cause), Share: decided.decision.Share, Room: decided.decision.Room, Demand: decided.decision.Demand,
			Before: decided.decision.Before, CompletionMillis: decided.decision.Completion.Milliseconds(),
			ReportAgeMillis: decided.knownFor.Milliseconds(), IsKnowledgeOutdated: decided.decision.IsStale,
		}
	}
}

// list adds the servers, the chosen one and those that the choice compared first.
func (e *Explanation) list(d *Dispatcher, s *view.Snapshot, j *job, chosen *choice, now time.Time) {
	servers := s.Servers[j.service]
	if j.isKeyed() {
		e.Owner, servers = d.explainOwner(s, j)
	}
	compared := j.preview.evaluated
	j.preview.evaluated = map[string]*choice{}
	servers = slices.SortedStableFunc(slices.Values(servers), func(a, b *view.Server) int {
		isFirst := func(server *view.Server) bool { return chosen != nil && server == chosen.server }
		return cmp.Or(compareBool(isFirst(b), isFirst(a)), compareBool(compared[b.ID] != nil, compared[a.ID] != nil), cmp.Compare(a.ID, b.ID))
	})
	e.UnlistedCandidates = max(len(servers)-maxExplained, 0)
	for _, server := range servers[:len(servers)-e.UnlistedCandidates] {
		c := compared[server.ID]
		isCompared := c != nil
		if !isCompared {
			c = d.assess(s, j, server, now)
		}
		x := ExplainedServer{
			Server: server.ID, FailureDomain: server.FailureDomain, IsChosen: chosen != nil && server == chosen.server, Queue: c.estimate.QueueLength, Slots: server.Slots,
			CompletionMillis: c.estimate.Completion.Milliseconds(), FailureRate: c.estimate.FailureRate, CostMillis: time.Duration(c.cost).Milliseconds(),
			ReportAgeMillis: millisSince(now, d.Estimator.Responsiveness(now, server.ID).ReportedAt), HasConnection: c.hasConnection,
		}
		if limit := d.ServerLimiter.Table.Find(server.Process()); limit.IsActive() {
			x.LimitPerSecond, x.LimitFreeMillis = limit.Rate, d.ServerLimiter.FreeIn(now, server.Process()).Milliseconds()
		}
		if !x.IsChosen {
			x.Excluded = d.exclusion(s, j, c, isCompared, now)
		}
		e.Candidates = append(e.Candidates, x)
	}
}

// explainOwner returns what the owner map says about the key, and the server that it names.
func (d *Dispatcher) explainOwner(s *view.Snapshot, j *job) (*ExplainedOwner, []*view.Server) {
	r, found := s.Maps[j.service].Find(j.meta.Key)
	if !found {
		return &ExplainedOwner{State: "unknown", Absence: j.preview.absence}, nil
	}
	states := map[shardmap.State]string{shardmap.StateAssigned: "assigned", shardmap.StateReleasing: "releasing", shardmap.StateReleased: "released"}
	owner := &ExplainedOwner{Server: r.Owner.ID, State: states[r.State], Absence: j.preview.absence}
	if server := s.ByID[r.Owner.ID]; server != nil && server.Process() == r.Owner {
		return owner, []*view.Server{server}
	}
	return owner, nil
}

// exclusion returns why a request does not go to a server, by the same conditions as the choice.
func (d *Dispatcher) exclusion(s *view.Snapshot, j *job, c *choice, isCompared bool, now time.Time) string {
	_, isEvacuated := s.Evacuated[c.server.FailureDomain]
	isFull := !c.hasCapacity(j.route.Kind)
	if j.isKeyed() {
		isFull = c.isOwnerFull()
	}
	switch {
	case isEvacuated:
		return "failure domain evacuated"
	case c.server.Draining:
		return "draining"
	case j.isKeyed() && j.preview.absence != "":
		return j.preview.absence
	case d.backoffs.Left(now, c.server.Process()) > 0:
		return "wants no requests for " + d.backoffs.Left(now, c.server.Process()).Round(time.Millisecond).String()
	case c.decision.Cause != "":
		return "not admitted: " + string(c.decision.Cause)
	case c.estimate.IsEjected && (!j.isKeyed() || c.estimate.Reason != placement.EjectionFailures):
		return "ejected: " + string(c.estimate.Reason)
	case !d.hasWarmupCapacity(s, c.server, now):
		return "warm-up rate used"
	case !d.hasPermitRoom(j, c, now):
		return "limit used"
	case !c.hasConnection:
		return "no connection free"
	case isFull:
		return "queue full"
	case !isCompared:
		return "not in the random sample"
	case c.cost > 0:
		return "higher cost"
	}
	return "expected too late"
}

// compareBool sorts false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
