package peers

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/traffic/quota"
)

const (
	// usagePrefix is the first byte of datagrams that begin with the usage of client accounts.
	// Earlier versions cannot decode them, and log that. 0x03 was that of rows without refunds.
	usagePrefix = 0x04
	// maxUsageRows keeps a datagram of one instance below the usual MTU, beside its loads. What
	// is left is sent with the next one.
	maxUsageRows = 32
	// maxSumUsageRows bounds the usage in a datagram with sums to 32 KB.
	maxSumUsageRows = 1600
	// usageInterval is the time after which an instance without load reports that it runs. The
	// others take it to be out of touch after a second.
	usageInterval = 200 * time.Millisecond

	// usageHeaderBytes are the process in 64 bits, the sequence in 32, and the instances
	// heard and the rows in 16 each.
	usageHeaderBytes = 16
	// usageRowBytes are the account, the count, the refunds and the demand in 32 bits each, and
	// the recent count and the active instances in 16.
	usageRowBytes = 20
	// The number of instances heard shares its 16 bits with the bit that says whether none of
	// them is silent.
	freshBit = 1 << 15
	maxHeard = freshBit - 1
)

var errInvalidUsage = errors.New("peers: usage of client accounts is not valid")

// ShareQuotas makes the exchange carry the usage of client accounts. It must be called before
// Run.
func (e *Exchange) ShareQuotas(limiter *quota.Limiter) {
	limiter.Share()
	e.quotas = limiter
}

// stepQuotas tells the limiter which instances there are.
func (e *Exchange) stepQuotas(now time.Time) {
	s := e.view.Snapshot()
	if previous := e.vanishedFrom; previous != s {
		e.trackVanished(now, previous, s)
		e.vanishedFrom = s
	}
	for name, at := range e.vanished {
		if now.Sub(at) > quota.RetentionTime {
			delete(e.vanished, name)
		}
	}
	fleet := quota.Fleet{IsCurrent: e.view.IsCurrent(now)}
	if e.uptime != nil {
		fleet.Uptime = e.uptime()
	}
	if len(s.Peers) > 0 {
		fleet.Listed = len(s.Peers) + len(e.vanished)
		if _, isListed := e.topology().byName[e.self.Name]; !isListed && e.vanished[e.self.Name].IsZero() {
			fleet.Listed++
		}
	}
	e.quotas.Step(now, fleet)
}

// trackVanished records the instances that are no longer listed although they did not announce
// that they leave. They may be running, cut off from the store.
func (e *Exchange) trackVanished(now time.Time, previous, s *view.Snapshot) {
	if e.vanished == nil {
		e.vanished = map[string]time.Time{}
	}
	if previous != nil && previous.PeersVersion != s.PeersVersion {
		for _, p := range previous.Peers {
			if !p.IsLeaving {
				e.vanished[p.Name] = now
			}
		}
	}
	for _, p := range s.Peers {
		delete(e.vanished, p.Name)
	}
}

// usage returns the next report of client accounts in a scope, or nil if there are none.
func (e *Exchange) usage(now time.Time, scope quota.Scope, maxRows int) *quota.Usage {
	if e.quotas == nil || !e.quotas.HasAccounts() {
		return nil
	}
	usage := e.quotas.TakeUsage(now, scope, maxRows)
	e.count("quota.rowsSent", int64(len(usage.Rows)))
	return &usage
}

// ownUsage returns the usage at this instance, and whether it must be sent although the instance
// has no load to report: it changed, or it is time to report that the instance runs.
func (e *Exchange) ownUsage(now time.Time) (usage *quota.Usage, isDue bool) {
	usage = e.usage(now, quota.ScopeOwn, maxUsageRows)
	return usage, usage != nil && (len(usage.Rows) > 0 || now.Sub(e.usageSentAt) >= usageInterval-timerTolerance)
}

// mergeUsage charges the usage that a datagram reports.
func (e *Exchange) mergeUsage(now time.Time, t *topology, message datagram) {
	switch {
	case message.IsTotal:
		// A reporter has the reports that the sums are made of.
		if t.hasSums && !t.isReporter {
			e.quotas.MergeUsage(now, quota.ScopeTotal, "", message.From, *message.usage)
		}
	case message.Domain != "":
		if message.Domain != e.self.FailureDomain {
			e.quotas.MergeUsage(now, quota.ScopeDomain, message.Domain, message.From, *message.usage)
		}
	default:
		e.quotas.MergeUsage(now, quota.ScopeOwn, message.From, message.From, *message.usage)
	}
}

// prependUsage puts the usage of client accounts, if there is any, before a message.
func prependUsage(usage *quota.Usage, message []byte) []byte {
	if usage == nil {
		return message
	}
	b := make([]byte, 0, 1+usageHeaderBytes+len(usage.Rows)*usageRowBytes+len(message))
	b = append(b, usagePrefix)
	b = binary.LittleEndian.AppendUint64(b, usage.Process)
	b = binary.LittleEndian.AppendUint32(b, usage.Sequence)
	heard := uint16(min(usage.Heard, maxHeard))
	if usage.IsFresh {
		heard |= freshBit
	}
	b = binary.LittleEndian.AppendUint16(b, heard)
	b = binary.LittleEndian.AppendUint16(b, uint16(len(usage.Rows)))
	for _, row := range usage.Rows {
		b = binary.LittleEndian.AppendUint32(b, row.Account)
		b = binary.LittleEndian.AppendUint32(b, row.Count)
		b = binary.LittleEndian.AppendUint32(b, row.Refunds)
		b = binary.LittleEndian.AppendUint32(b, math.Float32bits(float32(row.Demand)))
		b = binary.LittleEndian.AppendUint16(b, uint16(min(row.Recent, math.MaxUint16)))
		b = binary.LittleEndian.AppendUint16(b, uint16(min(row.Active, math.MaxUint16)))
	}
	return append(b, message...)
}

// splitUsage returns the usage of client accounts that a datagram begins with, if any, and the
// message behind it.
func splitUsage(b []byte) (usage *quota.Usage, message []byte, err error) {
	if len(b) == 0 || b[0] != usagePrefix {
		return nil, b, nil
	}
	b = b[1:]
	if len(b) < usageHeaderBytes {
		return nil, nil, errors.WithStack(errInvalidUsage)
	}
	usage = &quota.Usage{
		Process:  binary.LittleEndian.Uint64(b),
		Sequence: binary.LittleEndian.Uint32(b[8:]),
		Heard:    int(binary.LittleEndian.Uint16(b[12:]) &^ freshBit),
		IsFresh:  binary.LittleEndian.Uint16(b[12:])&freshBit != 0,
	}
	rows := int(binary.LittleEndian.Uint16(b[14:]))
	b = b[usageHeaderBytes:]
	if len(b) < rows*usageRowBytes {
		return nil, nil, errors.WithStack(errInvalidUsage)
	}
	for ; rows > 0; rows-- {
		demand := float64(math.Float32frombits(binary.LittleEndian.Uint32(b[12:])))
		if math.IsNaN(demand) || math.IsInf(demand, 0) || demand < 0 {
			return nil, nil, errors.WithStack(errInvalidUsage)
		}
		usage.Rows = append(usage.Rows, quota.Row{
			Account: binary.LittleEndian.Uint32(b),
			Count:   binary.LittleEndian.Uint32(b[4:]),
			Refunds: binary.LittleEndian.Uint32(b[8:]),
			Demand:  demand,
			Recent:  uint32(binary.LittleEndian.Uint16(b[16:])),
			Active:  int(binary.LittleEndian.Uint16(b[18:])),
		})
		b = b[usageRowBytes:]
	}
	return usage, b, nil
}
