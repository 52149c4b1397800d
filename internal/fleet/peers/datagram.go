package peers

import (
	"hash/fnv"
	"time"

	"github.com/redwingstall/redwingstall/internal/fleet/follow"
	"github.com/redwingstall/redwingstall/internal/routing/placement"
)

// datagram is a message from one instance to others.
type datagram struct {
	_    struct{} `cbor:",toarray"`
	From string
	// Loads, Keys (by service) and Update are optional.
	Loads  []serverLoad
	Keys   map[string][]int
	Update *follow.Update
	// Domain is set if Loads are the sums of a failure domain.
	Domain string
}

// serverLoad is the compact encoding of a [placement.Report].
type serverLoad struct {
	_        struct{} `cbor:",toarray"`
	ID       uint32
	InFlight int
	Open     int
	// FactorPercent and SlowdownPercent are ratios in percent, rounded down.
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

// shortID returns the hash that identifies a server in datagrams.
func shortID(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}

const (
	percent = 100
	tenths  = 10
)

func encodeReports(reports []placement.Report) []serverLoad {
	loads := make([]serverLoad, 0, len(reports))
	for _, r := range reports {
		s := serverLoad{ID: shortID(r.Server), InFlight: r.InFlight, Open: r.OpenConnections, FactorPercent: int(r.LatencyFactor * percent)}
		if r.HasLoad {
			s.Running, s.Waiting, s.Slots = r.Load.Running, r.Load.Waiting, r.Load.Slots
			s.SlowdownPercent, s.AgeMS = int(r.Load.Slowdown*percent), int(r.LoadAge.Milliseconds())
		}
		s.AttemptTenths, s.FailureTenths = int(r.Attempts*tenths), int(r.Failures*tenths)
		s.SilenceMS = int(r.UnansweredTime.Milliseconds())
		loads = append(loads, s)
	}
	return loads
}

func decodeReports(loads []serverLoad, idsByShortID map[uint32]string) []placement.Report {
	reports := make([]placement.Report, 0, len(loads))
	for _, load := range loads {
		id, found := idsByShortID[load.ID]
		if !found {
			continue // the server is not in this instance's view yet
		}
		r := placement.Report{Server: id, InFlight: load.InFlight, OpenConnections: load.Open, LatencyFactor: float64(load.FactorPercent) / percent, HasLoad: load.Slots > 0}
		r.Load.Running, r.Load.Waiting, r.Load.Slots = load.Running, load.Waiting, load.Slots
		r.Load.Slowdown = float64(load.SlowdownPercent) / percent
		r.LoadAge = time.Duration(load.AgeMS) * time.Millisecond
		r.Attempts, r.Failures = float64(load.AttemptTenths)/tenths, float64(load.FailureTenths)/tenths
		r.UnansweredTime = time.Duration(load.SilenceMS) * time.Millisecond
		reports = append(reports, r)
	}
	return reports
}
