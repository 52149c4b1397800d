package peers

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/fleet/follow"
	"github.com/redwingstall/redwingstall/internal/routing/placement"
	"github.com/redwingstall/redwingstall/internal/traffic/quota"
)

// datagram is a message from one instance to others.
type datagram struct {
	_    struct{} `cbor:",toarray"`
	From string
	// Loads, Keys (by service) and Update are optional.
	Loads  loadTable
	Keys   map[string][]int
	Update *follow.Update
	// Domain is set if Loads are the sums of a failure domain.
	Domain string
	// IsTotal is set if Loads are the sums of all failure domains.
	IsTotal bool
	// RepairAfter is the revision after which the sender misses changes, or zero.
	RepairAfter int64
	// RepairEra is the era of that revision.
	RepairEra int64
	// usage of client accounts precedes the rest of the message, or is nil.
	usage *quota.Usage
	// demands precede the rest of the message too, or are nil.
	demands demandTable
}

// loadTable encodes reports as rows of fixed length: the short id of the server in 32
// bits, then loadColumns numbers of 16 bits, all little-endian.
type loadTable []byte

// The columns of a row. Shares are in percent, counts of attempts in tenths, times in
// milliseconds. Their number must stay: an instance of another version takes rows of another
// length for reports about other servers.
const (
	columnInFlight = iota
	columnOpenConnections
	columnLatencyFactor
	columnRunning
	columnWaiting
	columnSlots
	columnSlowdown
	columnLoadAge
	columnAttempts
	columnFailures
	columnUnansweredTime
	columnSources
	loadColumns
)

const (
	idBytes      = 4
	columnBytes  = 2
	loadRowBytes = idBytes + columnBytes*loadColumns
	percent      = 100
	tenths       = 10
)

// rows returns the number of rows. The bytes of an incomplete row are ignored.
func (t loadTable) rows() int { return len(t) / loadRowBytes }

// shortID returns the hash that identifies a server in datagrams.
func shortID(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}

func encodeReports(reports []placement.Report) loadTable {
	table := make(loadTable, 0, len(reports)*loadRowBytes)
	for _, r := range reports {
		table = binary.LittleEndian.AppendUint32(table, shortID(r.Server))
		for _, value := range encodeColumns(r) {
			table = binary.LittleEndian.AppendUint16(table, uint16(min(max(value, 0), math.MaxUint16)))
		}
	}
	return table
}

func encodeColumns(r placement.Report) [loadColumns]float64 {
	columns := [loadColumns]float64{
		columnInFlight:        float64(r.InFlight),
		columnOpenConnections: float64(r.OpenConnections),
		columnLatencyFactor:   r.LatencyFactor * percent,
		columnAttempts:        r.Attempts * tenths,
		columnFailures:        r.Failures * tenths,
		columnUnansweredTime:  float64(r.UnansweredTime.Milliseconds()),
		columnSources:         float64(r.Sources),
	}
	if r.HasLoad {
		columns[columnRunning] = float64(r.Load.Running)
		columns[columnWaiting] = float64(r.Load.Waiting)
		columns[columnSlots] = float64(r.Load.Slots)
		columns[columnSlowdown] = r.Load.Slowdown * percent
		columns[columnLoadAge] = float64(r.LoadAge.Milliseconds())
	}
	return columns
}

func decodeReports(table reportTable, idsByShortID map[uint32]string) []placement.Report {
	reports := make([]placement.Report, 0, table.rows())
	for n := range table.rows() {
		if id, found := idsByShortID[table.id(n)]; found { // else it is not in this instance's view yet
			reports = append(reports, table.report(n, id))
		}
	}
	return reports
}

// id returns the short id of the server of a row.
func (t loadTable) id(row int) uint32 { return binary.LittleEndian.Uint32(t[row*loadRowBytes:]) }

// reportTable is a table of reports with their demands, if there are any.
type reportTable struct {
	loadTable
	demands demandTable
}

// report decodes a row, whose server has the given id.
func (t reportTable) report(row int, id string) placement.Report {
	r := t.loadTable.report(row, id)
	r.Demand = t.demands.at(row)
	return r
}

// report decodes a row without its demand.
func (t loadTable) report(row int, id string) placement.Report {
	columns := t[row*loadRowBytes+idBytes:]
	column := func(i int) int { return int(binary.LittleEndian.Uint16(columns[columnBytes*i:])) }
	millis := func(i int) time.Duration { return time.Duration(column(i)) * time.Millisecond }
	return placement.Report{
		Server:          id,
		InFlight:        column(columnInFlight),
		OpenConnections: column(columnOpenConnections),
		LatencyFactor:   float64(column(columnLatencyFactor)) / percent,
		Load: redwingstall.ServerLoad{
			Running:  column(columnRunning),
			Waiting:  column(columnWaiting),
			Slots:    column(columnSlots),
			Slowdown: float64(column(columnSlowdown)) / percent,
		},
		HasLoad:        column(columnSlots) > 0,
		LoadAge:        millis(columnLoadAge),
		Attempts:       float64(column(columnAttempts)) / tenths,
		Failures:       float64(column(columnFailures)) / tenths,
		UnansweredTime: millis(columnUnansweredTime),
		Sources:        column(columnSources),
	}
}

// sortedByShortID sorts reports in the order that Find needs.
func sortedByShortID(reports []placement.Report) []placement.Report {
	return slices.SortedFunc(slices.Values(reports), func(a, b placement.Report) int { return cmp.Compare(shortID(a.Server), shortID(b.Server)) })
}

// Find returns the report about a server. The rows must be sorted by short id.
func (t reportTable) Find(server string) (placement.Report, bool) {
	id := shortID(server)
	row := sort.Search(t.rows(), func(n int) bool { return t.id(n) >= id })
	if row == t.rows() || t.id(row) != id {
		return placement.Report{}, false
	}
	return t.report(row, server), true
}
