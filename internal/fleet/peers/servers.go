package peers

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
	"github.com/redwingstall/redwingstall/internal/traffic/serverlimit"
)

const (
	// serverPrefix is the first byte of messages about servers. Earlier versions cannot
	// decode them, and log that.
	serverPrefix = 0x00
	// askTimeout is how long one query waits for its reply, and askTries how often it is
	// sent. Round trips take 2 ms; the rest is for a busy instance.
	askTimeout = 80 * time.Millisecond
	askTries   = 2
	// digestInterval is the time between two comparisons with another instance of what is
	// known, which find lost messages and supply instances that have just started.
	digestInterval = time.Second
	// startupTime is how long a new instance compares although it knows of nothing, at
	// shorter intervals.
	startupTime           = time.Second
	startupDigestInterval = 300 * time.Millisecond
	// maxRowsPerMessage bounds a message to about 10 KB.
	maxRowsPerMessage = 200
	// delayMargin is the most that a message is assumed to have traveled. What it says
	// about the start of a request is taken to be older by it.
	delayMargin = 20 * time.Millisecond
)

var errNoReply = errors.New("peers: no reply")

// messageKind is the kind of a message about servers.
type messageKind int

const (
	// kindQuery asks the coordinator for a permit, and kindReply answers it.
	kindQuery messageKind = iota + 1
	kindReply
	// kindNotice broadcasts changes, and kindTable sends all that is known.
	kindNotice
	kindTable
	// kindDigest compares what is known. The receiver sends its table if that differs.
	kindDigest
)

// serverMessage is a message about what servers say in their responses: limits, and that
// they leave.
type serverMessage struct {
	_     struct{} `cbor:",toarray"`
	From  string
	Kind  messageKind
	Nonce uint64
	Rows  []limitRow
	// MaxWaitMicros and IsForwarded belong to queries.
	MaxWaitMicros int64
	IsForwarded   bool
	// IsGranted, WaitMicros and FreeInMicros belong to replies.
	IsGranted    bool
	WaitMicros   int64
	FreeInMicros int64
	// Digest belongs to digests. WantsTable is set in tables that are sent to an instance
	// that may know more.
	Digest     uint64
	WantsTable bool
	// Leaving are servers that announced in a response that they leave.
	Leaving []leavingRow
}

// leavingRow is a server that leaves.
type leavingRow struct {
	_               struct{} `cbor:",toarray"`
	Server          string
	StartedAtMillis int64
	SinceMicros     int64
}

func encodeLeaving(now time.Time, leaving []view.Leaving) []leavingRow {
	rows := make([]leavingRow, 0, len(leaving))
	for _, l := range leaving {
		rows = append(rows, leavingRow{Server: l.Server.ID, StartedAtMillis: l.Server.StartedAtMillis, SinceMicros: ageMicros(now, l.Since)})
	}
	return rows
}

// limitRow is one limit. Times are ages in microseconds.
type limitRow struct {
	_               struct{} `cbor:",toarray"`
	Server          string
	StartedAtMillis int64
	Rate            float64
	SentMicros      int64
	AnsweredMicros  int64
}

func encodeLimit(now time.Time, l serverlimit.Limit) limitRow {
	return limitRow{
		Server: l.Server.ID, StartedAtMillis: l.Server.StartedAtMillis, Rate: l.Rate,
		SentMicros: ageMicros(now, l.SentAt), AnsweredMicros: ageMicros(now, l.AnsweredAt),
	}
}

// maxAge is the age that stands for all longer ones.
const maxAge = 24 * time.Hour

func ageMicros(now, at time.Time) int64 { return min(now.Sub(at), maxAge).Microseconds() }

func encodeLimits(now time.Time, limits []serverlimit.Limit) []limitRow {
	rows := make([]limitRow, 0, len(limits))
	for _, l := range limits {
		rows = append(rows, encodeLimit(now, l))
	}
	return rows
}

func (r limitRow) limit(now time.Time) serverlimit.Limit {
	return serverlimit.Limit{
		Server: shardmap.Server{ID: r.Server, StartedAtMillis: r.StartedAtMillis}, Rate: r.Rate,
		SentAt: now.Add(-micros(r.SentMicros) - delayMargin), AnsweredAt: now.Add(-micros(r.AnsweredMicros)),
	}
}

func micros(n int64) time.Duration {
	return time.Duration(min(max(n, 0), maxAge.Microseconds())) * time.Microsecond
}

// ShareLimits makes the exchange carry the limits of servers, queries for permits and which
// servers leave. It must be called before Run.
func (e *Exchange) ShareLimits(limiter *serverlimit.Limiter) { e.limiter = limiter }

var _ serverlimit.Transport = (*Exchange)(nil)

// Ask sends a query to another instance and waits for the reply.
func (e *Exchange) Ask(ctx context.Context, instance string, query serverlimit.Query) (serverlimit.Reply, error) {
	p, isKnown := e.topology().byName[instance]
	if !isKnown {
		return serverlimit.Reply{}, errors.Wrap(errNoReply, "instance is not listed")
	}
	nonce := rand.Uint64()
	replies := make(chan serverMessage, askTries)
	e.setPending(nonce, replies)
	defer e.setPending(nonce, nil)
	for range askTries {
		now := time.Now()
		e.sendServerMessage(serverMessage{
			Kind: kindQuery, Nonce: nonce, Rows: []limitRow{encodeLimit(now, query.Limit)},
			MaxWaitMicros: query.MaxWait.Microseconds(), IsForwarded: query.IsForwarded,
		}, []view.Peer{p})
		timer := time.NewTimer(askTimeout)
		select {
		case m := <-replies:
			timer.Stop()
			return m.reply(time.Now()), nil
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return serverlimit.Reply{}, errors.Wrap(ctx.Err(), "peers")
		}
	}
	return serverlimit.Reply{}, errors.WithStack(errNoReply)
}

func (m serverMessage) reply(now time.Time) serverlimit.Reply {
	return serverlimit.Reply{
		Permit: serverlimit.Permit{IsGranted: m.IsGranted, Wait: micros(m.WaitMicros), FreeIn: micros(m.FreeInMicros)},
		Limit:  m.Rows[0].limit(now),
	}
}

func (e *Exchange) setPending(nonce uint64, replies chan serverMessage) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if replies == nil {
		delete(e.pending, nonce)
		return
	}
	if e.pending == nil {
		e.pending = map[uint64]chan serverMessage{}
	}
	e.pending[nonce] = replies
}

func (e *Exchange) sendServerMessage(m serverMessage, to []view.Peer) {
	m.From = e.self.Name
	encoded, err := cbor.Marshal(m)
	if err != nil {
		e.log.Error("datagram encoding failed", "error", err.Error())
		return
	}
	e.writeDatagram(append([]byte{serverPrefix}, encoded...), to)
}

// broadcastServers sends what this instance has learned by responses to all others, through
// the reporters of other failure domains.
func (e *Exchange) broadcastServers(now time.Time, t *topology) {
	message := serverMessage{Kind: kindNotice}
	e.forEachMessage(now, message, e.limiter.Table.TakeChanges(), e.view.TakeLeaving(), func(m serverMessage, _ bool) {
		e.sendServerMessage(m, t.near)
		e.sendServerMessage(m, t.farReporterPeers)
	})
}

// forEachMessage splits limits and leaving servers into messages of bounded size.
func (e *Exchange) forEachMessage(now time.Time, message serverMessage, limits []serverlimit.Limit, leaving []view.Leaving, send func(m serverMessage, isLast bool)) {
	for len(limits)+len(leaving) > 0 {
		n := min(len(limits), maxRowsPerMessage)
		k := min(len(leaving), maxRowsPerMessage-n)
		message.Rows, message.Leaving = encodeLimits(now, limits[:n]), encodeLeaving(now, leaving[:k])
		limits, leaving = limits[n:], leaving[k:]
		send(message, len(limits)+len(leaving) == 0)
	}
}

// compareServers sends a digest of what is known to another instance, by which one of both
// finds out what it has missed. An instance that has just started does so more often.
func (e *Exchange) compareServers(now time.Time, t *topology) {
	if len(t.near) == 0 {
		return
	}
	if e.firstComparedAt.IsZero() {
		e.firstComparedAt = now
	}
	interval, isStarting := digestInterval, now.Sub(e.firstComparedAt) < startupTime
	if isStarting {
		interval = startupDigestInterval
	}
	digest := e.digest()
	if now.Sub(e.comparedAt) < interval-timerTolerance || digest == 0 && !isStarting {
		return
	}
	e.comparedAt = now
	e.sendServerMessage(serverMessage{Kind: kindDigest, Digest: digest}, []view.Peer{t.near[rand.IntN(len(t.near))]})
}

// sendTable sends all that is known to an instance.
func (e *Exchange) sendTable(now time.Time, to view.Peer, wantsTable bool) {
	limits, leaving := e.limiter.Table.All(), e.view.AllLeaving()
	if len(limits)+len(leaving) == 0 && wantsTable {
		e.sendServerMessage(serverMessage{Kind: kindTable, WantsTable: true}, []view.Peer{to})
		return
	}
	e.forEachMessage(now, serverMessage{Kind: kindTable}, limits, leaving, func(m serverMessage, isLast bool) {
		m.WantsTable = wantsTable && isLast
		e.sendServerMessage(m, []view.Peer{to})
	})
}

// digest returns a hash of what is known.
func (e *Exchange) digest() uint64 {
	digest := e.limiter.Table.Digest()
	for _, l := range e.view.AllLeaving() {
		digest ^= ^serverlimit.Hash(l.Server)
	}
	return digest
}

// handleServerMessage handles a message about servers. It does not block.
func (e *Exchange) handleServerMessage(ctx context.Context, now time.Time, raw []byte, sender netip.AddrPort) {
	var m serverMessage
	if err := cbor.Unmarshal(raw[1:], &m); err != nil {
		e.log.Warn("datagram decoding failed", "bytes", len(raw), "error", err.Error())
		return
	}
	t := e.topology()
	from := view.Peer{Name: m.From, Address: sender.String()}
	switch m.Kind {
	case kindQuery:
		e.handleQuery(ctx, now, m, from)
	case kindReply:
		e.handleReply(m)
	case kindNotice:
		e.mergeServers(now, m)
		if t.isReporter && t.isFar[m.From] && t.names[sender] == m.From {
			e.writeDatagram(raw, t.near)
		}
	case kindTable:
		e.mergeServers(now, m)
		if m.WantsTable {
			e.sendTable(now, from, false)
		}
	case kindDigest:
		if m.Digest != e.digest() {
			e.sendTable(now, from, true)
		}
	}
}

func (e *Exchange) handleQuery(ctx context.Context, now time.Time, m serverMessage, from view.Peer) {
	if len(m.Rows) != 1 {
		return
	}
	query := serverlimit.Query{Limit: m.Rows[0].limit(now), MaxWait: micros(m.MaxWaitMicros), IsForwarded: m.IsForwarded}
	answer := func() {
		reply := e.limiter.Answer(ctx, query)
		e.sendServerMessage(serverMessage{
			Kind: kindReply, Nonce: m.Nonce, Rows: []limitRow{encodeLimit(time.Now(), reply.Limit)},
			IsGranted: reply.IsGranted, WaitMicros: reply.Wait.Microseconds(), FreeInMicros: reply.FreeIn.Microseconds(),
		}, []view.Peer{from})
	}
	if e.limiter.NeedsOthers(query) {
		go answer()
		return
	}
	answer()
}

func (e *Exchange) handleReply(m serverMessage) {
	e.mu.Lock()
	replies := e.pending[m.Nonce]
	e.mu.Unlock()
	if replies == nil || len(m.Rows) != 1 {
		return
	}
	select {
	case replies <- m:
	default:
	}
}

func (e *Exchange) mergeServers(now time.Time, m serverMessage) {
	for _, row := range m.Rows {
		l := row.limit(now)
		if e.limiter.Table.Merge(l) {
			e.log.Info("limit of backend server", "server", l.Server.ID, "perSecond", l.Rate, "source", m.From)
		}
	}
	for _, row := range m.Leaving {
		e.view.MergeLeaving(now, view.Leaving{Server: shardmap.Server{ID: row.Server, StartedAtMillis: row.StartedAtMillis}, Since: now.Add(-micros(row.SinceMicros))})
	}
}
