package peers

import (
	"hash/fnv"
	"time"

	"github.com/redwingstall/redwingstall/internal/fleet/follow"
	"github.com/redwingstall/redwingstall/internal/routing/placement"
)

// datagram is what one instance tells the others.
type datagram struct {
	_    struct{} `cbor:",toarray"`
	From string
	// Loads of servers, Keys by service, and News are there or not.
	Loads []serverLoad
	Keys  map[string][]int
	News  *follow.News
	// Domain is set if the loads are the sums of a failure domain.
	Domain string
}

// serverLoad is a [placement.Report] in few bytes.
type serverLoad struct {
	_        struct{} `cbor:",toarray"`
	ID       uint32
	InFlight int
	Open     int
	// FactorPercent and SlowdownPercent are rounded.
	FactorPercent   int
	SlowdownPercent int
	Running         int
	Waiting         int
	Slots           int
	AgeMS           int
	// AttemptTenths and FailureTenths are counts in tenths.
	AttemptTenths int
	FailureTenths int
	SilenceMS     int
}

// shortID stands for a server's id in datagrams.
func shortID(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}

const (
	percent = 100
	tenths  = 10
)

func shorten(reports []placement.Report) []serverLoad {
	short := make([]serverLoad, 0, len(reports))
	for _, r := range reports {
		s := serverLoad{ID: shortID(r.Server), InFlight: r.InFlight, Open: r.OpenConnections, FactorPercent: int(r.LatencyFactor * percent)}
		if r.HasLoad {
			s.Running, s.Waiting, s.Slots = r.Load.Running, r.Load.Waiting, r.Load.Slots
			s.SlowdownPercent, s.AgeMS = int(r.Load.Slowdown*percent), int(r.LoadAge.Milliseconds())
		}
		s.AttemptTenths, s.FailureTenths = int(r.Attempts*tenths), int(r.Failures*tenths)
		s.SilenceMS = int(r.UnansweredTime.Milliseconds())
		short = append(short, s)
	}
	return short
}

func lengthen(loads []serverLoad, names map[uint32]string) []placement.Report {
	reports := make([]placement.Report, 0, len(loads))
	for _, s := range loads {
		id, found := names[s.ID]
		if !found {
			continue // a server that this instance has not heard of yet
		}
		r := placement.Report{Server: id, InFlight: s.InFlight, OpenConnections: s.Open, LatencyFactor: float64(s.FactorPercent) / percent, HasLoad: s.Slots > 0}
		r.Load.Running, r.Load.Waiting, r.Load.Slots = s.Running, s.Waiting, s.Slots
		r.Load.Slowdown = float64(s.SlowdownPercent) / percent
		r.LoadAge = time.Duration(s.AgeMS) * time.Millisecond
		r.Attempts, r.Failures = float64(s.AttemptTenths)/tenths, float64(s.FailureTenths)/tenths
		r.UnansweredTime = time.Duration(s.SilenceMS) * time.Millisecond
		reports = append(reports, r)
	}
	return reports
}
