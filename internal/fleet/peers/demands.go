package peers

import (
	"encoding/binary"
	"math"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall/internal/routing/placement"
)

const (
	// demandPrefix is the first byte of datagrams that begin with the demand for servers, behind
	// the usage of client accounts if there is any. Earlier versions cannot decode them, and log
	// that: an array with one more element would be an error to them as well.
	demandPrefix = 0x04
	// demandHeaderBytes are the number of rows.
	demandHeaderBytes = 2
	demandBytes       = 2
	// maxLoadsWithDemand keeps a datagram with demands below the usual MTU.
	maxLoadsWithDemand = 46
)

var errInvalidDemand = errors.New("peers: demand for servers is not valid")

// demandTable encodes the demands of the reports of a loadTable, in the same order, as numbers of
// 16 bits in hundredths of a slot.
type demandTable []byte

// ShareDemand makes the exchange send the demand for servers while it is in use. It must be
// called before Run.
func (e *Exchange) ShareDemand(isInUse func() bool) { e.isDemandInUse = isInUse }

// sendsDemand reports whether demands are sent.
func (e *Exchange) sendsDemand() bool { return e.isDemandInUse != nil && e.isDemandInUse() }

// encodeDemands returns nil if there is no demand.
func encodeDemands(reports []placement.Report) demandTable {
	table, isEmpty := make(demandTable, 0, len(reports)*demandBytes), true
	for _, r := range reports {
		demand := uint16(min(max(r.Demand*percent, 0), math.MaxUint16))
		isEmpty = isEmpty && demand == 0
		table = binary.LittleEndian.AppendUint16(table, demand)
	}
	if isEmpty {
		return nil
	}
	return table
}

// at returns the demand of a row, or zero if there is none.
func (t demandTable) at(row int) float64 {
	if len(t) < (row+1)*demandBytes {
		return 0
	}
	return float64(binary.LittleEndian.Uint16(t[row*demandBytes:])) / percent
}

// prependDemands puts demands, if there are any, before a message.
func prependDemands(demands demandTable, message []byte) []byte {
	if len(demands) == 0 {
		return message
	}
	b := make([]byte, 0, 1+demandHeaderBytes+len(demands)+len(message))
	b = append(b, demandPrefix)
	b = binary.LittleEndian.AppendUint16(b, uint16(len(demands)/demandBytes))
	b = append(b, demands...)
	return append(b, message...)
}

// splitDemands returns a copy of the demands that a datagram begins with, if any, and the message
// behind them.
func splitDemands(b []byte) (demands demandTable, message []byte, err error) {
	if len(b) == 0 || b[0] != demandPrefix {
		return nil, b, nil
	}
	b = b[1:]
	if len(b) < demandHeaderBytes {
		return nil, nil, errors.WithStack(errInvalidDemand)
	}
	size := int(binary.LittleEndian.Uint16(b)) * demandBytes
	b = b[demandHeaderBytes:]
	if len(b) < size {
		return nil, nil, errors.WithStack(errInvalidDemand)
	}
	return append(demandTable{}, b[:size]...), b[size:], nil
}
