package peers

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"sort"
	"time"

	"github.com/redwingstall/redwingstall/internal/fleet/follow"
	"github.com/redwingstall/redwingstall/internal/routing/placement"
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
}

// loadTable encodes reports as rows of fixed length: the short id of the server in 32
// bits, then loadColumns numbers of 16 bits, all little-endian.
type loadTable []byte

const (
	loadColumns  = 12
	loadRowBytes = 4 + 2*loadColumns
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
		columns := [loadColumns]float64{
			float64(r.InFlight), float64(r.OpenConnections), r.LatencyFactor * percent,
			0, 0, 0, 0, 0,
			r.Attempts * tenths, r.Failures * tenths, float64(r.UnansweredTime.Milliseconds()), float64(r.Sources),
		}
		if r.HasLoad {
			columns[3], columns[4], columns[5] = float64(r.Load.Running), float64(r.Load.Waiting), float64(r.Load.Slots)
			columns[6], columns[7] = r.Load.Slowdown*percent, float64(r.LoadAge.Milliseconds())
		}
		table = binary.LittleEndian.AppendUint32(table, shortID(r.Server))
		for _, value := range columns {
			table = binary.LittleEndian.AppendUint16(table, uint16(min(max(value, 0), math.MaxUint16)))
		}
	}
	return table
}

func decodeReports(table loadTable, idsByShortID map[uint32]string) []placement.Report {
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

// report decodes a row, whose server has the given id.
func (t loadTable) report(row int, id string) placement.Report {
	columns := t[row*loadRowBytes+4:]
	column := func(i int) int { return int(binary.LittleEndian.Uint16(columns[2*i:])) }
	r := placement.Report{
		Server: id, InFlight: column(0), OpenConnections: column(1), LatencyFactor: float64(column(2)) / percent,
		HasLoad: column(5) > 0, LoadAge: time.Duration(column(7)) * time.Millisecond,
		Attempts: float64(column(8)) / tenths, Failures: float64(column(9)) / tenths,
		UnansweredTime: time.Duration(column(10)) * time.Millisecond, Sources: column(11),
	}
	r.Load.Running, r.Load.Waiting, r.Load.Slots = column(3), column(4), column(5)
	r.Load.Slowdown = float64(column(6)) / percent
	return r
}

// Find returns the report about a server. The rows must be sorted by short id.
func (t loadTable) Find(server string) (placement.Report, bool) {
	id := shortID(server)
	row := sort.Search(t.rows(), func(n int) bool { return t.id(n) >= id })
	if row == t.rows() || t.id(row) != id {
		return placement.Report{}, false
	}
	return t.report(row, server), true
}
