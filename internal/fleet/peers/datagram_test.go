package peers

import (
	"context"
	"encoding/binary"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/routing/placement"
	"github.com/redwingstall/redwingstall/internal/traffic/quota"
)

func TestReportsSurviveEncoding(t *testing.T) {
	whole := placement.Report{
		Server: "a", InFlight: 3, OpenConnections: 70_000, LatencyFactor: 1.25,
		Load: redwingstall.ServerLoad{Running: 4, Waiting: 2, Slots: 4, Slowdown: 3.5}, HasLoad: true, LoadAge: 120 * time.Millisecond,
		Attempts: 12.5, Failures: 0.5, UnansweredTime: 700 * time.Millisecond, Sources: 49, Demand: 6.25,
	}
	idle := placement.Report{Server: "b", LatencyFactor: 1}
	table := reportTable{encodeReports([]placement.Report{whole, idle}), encodeDemands([]placement.Report{whole, idle})}
	ids := map[uint32]string{shortID("a"): "a", shortID("b"): "b"}
	whole.OpenConnections = 65_535 // the largest number of a column
	require.Equal(t, []placement.Report{whole, idle}, decodeReports(table, ids))
	delete(ids, shortID("a"))
	require.Equal(t, []placement.Report{idle}, decodeReports(table, ids), "an unknown server is left out")
	require.Equal(t, []placement.Report{}, decodeReports(reportTable{table.loadTable[:loadRowBytes-1], table.demands}, ids), "an incomplete row is left out")
}

// Guards against a sorted table in which a server is not found, and against one that is
// cut short.
func TestFindInSums(t *testing.T) {
	reports := []placement.Report{}
	for i := range 100 {
		reports = append(reports, placement.Report{Server: serverID(i), InFlight: i, LatencyFactor: 1, Demand: float64(i)})
	}
	table := reportTable{encodeReports(sortedByShortID(reports)), encodeDemands(sortedByShortID(reports))}
	for i := range 100 {
		r, found := table.Find(serverID(i))
		require.True(t, found)
		require.Equal(t, i, r.InFlight)
		require.InDelta(t, i, r.Demand, 0)
	}
	_, found := table.Find(serverID(100))
	require.False(t, found)
	_, found = reportTable{loadTable: loadTable{1, 2, 3}}.Find(serverID(1))
	require.False(t, found)
}

// sentDatagrams is a socket that keeps what is sent, and from which the pending datagrams are read.
// It calls end after the last one.
type sentDatagrams struct {
	sent, pending [][]byte
	end           func()
}

func (s *sentDatagrams) ReadFromUDPAddrPort(b []byte) (n int, sender netip.AddrPort, err error) {
	if len(s.pending) == 0 {
		s.end()
		return 0, netip.AddrPort{}, net.ErrClosed
	}
	n = copy(b, s.pending[0])
	s.pending = s.pending[1:]
	return n, netip.AddrPort{}, nil
}

func (s *sentDatagrams) WriteToUDPAddrPort(b []byte, _ netip.AddrPort) (int, error) {
	s.sent = append(s.sent, b)
	return len(b), nil
}

func (s *sentDatagrams) Close() error { return nil }

// Guards against reports that instances of an earlier version misread: their rows have 28 bytes, 48
// of them are in a datagram, and the datagram has eight elements. It also guards against demands
// that are lost, and against datagrams above the usual MTU.
func TestReportsKeepTheirFormatWithoutDemand(t *testing.T) {
	const formerRowBytes, formerRows, formerElements, maxPayload = 28, 48, 8, 1472
	peer := view.Peer{Name: "b", Address: "127.0.0.1:1"}
	for name, c := range map[string]struct {
		isInUse func() bool
		demand  float64
		isSent  bool
	}{
		"not shared":  {nil, 1.5, false},
		"not in use":  {func() bool { return false }, 1.5, false},
		"no demand":   {func() bool { return true }, 0, false},
		"with demand": {func() bool { return true }, 1.5, true},
	} {
		t.Run(name, func(t *testing.T) {
			reports, ids := []placement.Report{}, map[uint32]string{}
			for i := range 100 {
				reports = append(reports, placement.Report{Server: serverID(i), InFlight: i, LatencyFactor: 1, Demand: c.demand})
				ids[shortID(serverID(i))] = serverID(i)
			}
			socket := &sentDatagrams{}
			e := newExchange(view.Peer{Name: "instance-a"}, socket, view.NewView(slog.New(slog.DiscardHandler), 0), &placement.Estimator{}, discardKeys{}, func(string, int64) {}, slog.New(slog.DiscardHandler))
			e.ShareDemand(c.isInUse)
			e.sendReports(datagram{From: "instance-a"}, reports, maxLoadsPerDatagram, []view.Peer{peer})
			decoded := []placement.Report{}
			for i, b := range socket.sent {
				require.LessOrEqual(t, len(b), maxPayload)
				demands, encoded, err := splitDemands(b)
				require.NoError(t, err)
				require.Equal(t, c.isSent, len(demands) > 0)
				elements := []any{}
				require.NoError(t, cbor.Unmarshal(encoded, &elements))
				require.Len(t, elements, formerElements)
				message := datagram{}
				require.NoError(t, cbor.Unmarshal(encoded, &message))
				require.Zero(t, len(message.Loads)%formerRowBytes)
				if !c.isSent && i == 0 {
					require.Len(t, message.Loads, formerRows*formerRowBytes)
				}
				require.Equal(t, shortID(serverID(len(decoded)+1)), binary.LittleEndian.Uint32(message.Loads[formerRowBytes:]))
				decoded = append(decoded, decodeReports(reportTable{message.Loads, demands}, ids)...)
			}
			require.Len(t, decoded, 100)
			for i, r := range decoded {
				require.Equal(t, i, r.InFlight)
				if c.isSent {
					require.InDelta(t, c.demand, r.Demand, 0)
				} else {
					require.Zero(t, r.Demand)
				}
			}
		})
	}
}

// Guards against demands that are sent but not used by the receiver.
func TestDemandReachesOtherInstances(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	socket := &sentDatagrams{}
	v, estimator := view.NewView(log, 0), &placement.Estimator{}
	v.Apply(time.Now(), []redwingstall.Event{redwingstall.EntryChanged{Entry: redwingstall.BackendEntry{ID: "s1", Service: "s", Slots: 4, StartedAtMillis: 1}}}, false)
	e := newExchange(view.Peer{Name: "a"}, socket, v, estimator, discardKeys{}, func(string, int64) {}, log)
	e.ShareDemand(func() bool { return true })
	usage := &quota.Usage{Rows: []quota.Row{{Account: 1, Count: 1}}}
	e.sendReports(datagram{From: "b", usage: usage}, []placement.Report{{Server: "s1", InFlight: 2, LatencyFactor: 1, Demand: 3.5}}, maxLoadsPerDatagram, []view.Peer{{Name: "a", Address: "127.0.0.1:1"}})
	ctx, cancel := context.WithCancel(t.Context())
	socket.pending, socket.end = socket.sent, cancel
	e.receive(ctx)
	estimate := estimator.Estimate(time.Now(), "r", placement.Candidate{ID: "s1", Service: "s", Slots: 4})
	require.InDelta(t, 3.5, estimate.Demand, 0)
	require.Positive(t, estimate.QueueLength)
}

// Guards against a panic or demands of other rows where a datagram is cut short.
func TestIncompleteDemandsAreRejected(t *testing.T) {
	whole := prependDemands(encodeDemands([]placement.Report{{Demand: 1}, {Demand: 2}}), nil)
	for n := 1; n < len(whole); n++ {
		_, _, err := splitDemands(whole[:n])
		require.Error(t, err, n)
	}
	demands, _, err := splitDemands(whole)
	require.NoError(t, err)
	require.InDelta(t, 2, demands.at(1), 0)
	require.Zero(t, demands.at(2))
}
