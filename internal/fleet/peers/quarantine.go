package peers

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
	"github.com/redwingstall/redwingstall/internal/traffic/quarantine"
)

// quarantinePrefix is the first byte of messages about requests that end servers. Earlier versions
// cannot decode them, and log that.
const quarantinePrefix = 0x01

// quarantineMessage carries records of requests that end servers. Its kinds are those of
// messages about servers: a notice, a table or a digest.
type quarantineMessage struct {
	_          struct{} `cbor:",toarray"`
	From       string
	Kind       messageKind
	Rows       []quarantineRow
	Digest     uint64
	WantsTable bool
}

// quarantineRow is one record. Times are ages in microseconds.
type quarantineRow struct {
	_             struct{} `cbor:",toarray"`
	Fingerprint   []byte
	Version       int64
	State         int
	ChangedMicros int64
	EndedMicros   int64
	Server        shardmap.Server
	TrialServer   shardmap.Server
	Ends          int
	Convictions   int
	Reporter      string
}

func encodeRecords(now time.Time, records []quarantine.Record) []quarantineRow {
	rows := make([]quarantineRow, 0, len(records))
	for _, r := range records {
		rows = append(rows, quarantineRow{
			Fingerprint: r.Fingerprint[:], Version: r.Version, State: int(r.State), ChangedMicros: ageMicros(now, r.ChangedAt),
			EndedMicros: ageMicros(now, r.EndedAt), Server: r.Server, TrialServer: r.TrialServer, Ends: r.Ends, Convictions: r.Convictions, Reporter: r.Reporter,
		})
	}
	return rows
}

// record returns the record of a row, or false if it is none.
func (r quarantineRow) record(now time.Time) (quarantine.Record, bool) {
	record := quarantine.Record{
		Version: r.Version, State: quarantine.State(r.State), ChangedAt: now.Add(-micros(r.ChangedMicros)),
		EndedAt: now.Add(-micros(r.EndedMicros)), Server: r.Server, TrialServer: r.TrialServer, Ends: r.Ends, Convictions: r.Convictions, Reporter: r.Reporter,
	}
	isKnownState := record.State >= quarantine.Cleared && record.State <= quarantine.Convicted
	return record, copy(record.Fingerprint[:], r.Fingerprint) == len(record.Fingerprint) && isKnownState
}

// ShareQuarantine makes the exchange carry the records of requests that end servers. It must be
// called before Run.
func (e *Exchange) ShareQuarantine(table *quarantine.Table) { e.quarantine = table }

// quarantineWake returns a channel that receives when there are records to broadcast.
func (e *Exchange) quarantineWake() <-chan struct{} {
	if e.quarantine == nil {
		return nil
	}
	return e.quarantine.Wake()
}

// broadcastQuarantine sends the changed records to all other instances, through the reporters of
// other failure domains, and with the next message once more.
func (e *Exchange) broadcastQuarantine(now time.Time, t *topology) {
	changed := e.quarantine.TakeChanges()
	for sent := append(e.sentRecords, changed...); len(sent) > 0; {
		n := min(len(sent), maxRowsPerMessage)
		m := quarantineMessage{Kind: kindNotice, Rows: encodeRecords(now, sent[:n])}
		e.sendQuarantineMessage(m, t.near)
		e.sendQuarantineMessage(m, t.farReporterPeers)
		sent = sent[n:]
	}
	e.sentRecords = changed
}

// compareQuarantine sends a digest of the records to another instance, as compareServers does.
// An instance that has just met the others does so at once: it would let requests pass that
// they reject.
func (e *Exchange) compareQuarantine(now time.Time, t *topology) {
	if len(t.near) == 0 {
		return
	}
	if e.metAt.IsZero() {
		e.metAt = now
	}
	interval, isNew := digestInterval, now.Sub(e.metAt) < startupTime
	if isNew {
		interval = startupDigestInterval
	}
	digest := e.quarantine.Digest(now)
	if now.Sub(e.quarantineComparedAt) < interval-timerTolerance || digest == 0 && !isNew {
		return
	}
	e.quarantineComparedAt = now
	e.sendQuarantineMessage(quarantineMessage{Kind: kindDigest, Digest: digest}, []view.Peer{t.near[rand.IntN(len(t.near))]})
}

func (e *Exchange) sendQuarantineMessage(m quarantineMessage, to []view.Peer) {
	if len(to) == 0 {
		return
	}
	m.From = e.self.Name
	encoded, err := cbor.Marshal(m)
	if err != nil {
		e.log.Error("datagram encoding failed", "error", err.Error())
		return
	}
	e.writeDatagram(append([]byte{quarantinePrefix}, encoded...), to)
}

// handleQuarantineMessage handles a message about requests that end servers. It does not block.
func (e *Exchange) handleQuarantineMessage(now time.Time, raw []byte, sender netip.AddrPort) {
	var m quarantineMessage
	if err := cbor.Unmarshal(raw[1:], &m); err != nil {
		e.log.Warn("datagram decoding failed", "bytes", len(raw), "error", err.Error())
		return
	}
	t := e.topology()
	from := view.Peer{Name: m.From, Address: sender.String()}
	switch m.Kind {
	case kindNotice:
		e.mergeQuarantine(now, m)
		e.correctNotice(now, m, from)
		if t.isReporter && t.isFar[m.From] && t.names[sender] == m.From {
			e.writeDatagram(raw, t.near)
		}
	case kindTable:
		e.mergeQuarantine(now, m)
		if m.WantsTable {
			e.sendQuarantineTable(now, from, false)
		}
	case kindDigest:
		if m.Digest != e.quarantine.Digest(now) {
			e.sendQuarantineTable(now, from, true)
		}
	}
}

func (e *Exchange) mergeQuarantine(now time.Time, m quarantineMessage) {
	for _, row := range m.Rows {
		record, isValid := row.record(now)
		if isValid && e.quarantine.Merge(now, record) && record.State == quarantine.Convicted {
			e.log.Warn("request ends servers", "fingerprint", record.Fingerprint, "convictions", record.Convictions, "source", m.From)
		}
	}
}

// correctNotice sends the sender of a notice the records that it does not know the latest
// version of. It may have started since.
func (e *Exchange) correctNotice(now time.Time, m quarantineMessage, to view.Peer) {
	newer := []quarantine.Record{}
	for _, row := range m.Rows {
		if sent, isValid := row.record(now); isValid {
			if known, isNewer := e.quarantine.Newer(sent); isNewer {
				newer = append(newer, known)
			}
		}
	}
	if len(newer) > 0 {
		e.sendQuarantineMessage(quarantineMessage{Kind: kindTable, Rows: encodeRecords(now, newer)}, []view.Peer{to})
	}
}

// sendQuarantineTable sends all records to an instance.
func (e *Exchange) sendQuarantineTable(now time.Time, to view.Peer, wantsTable bool) {
	records := e.quarantine.All(now)
	for first := true; first || len(records) > 0; first = false {
		n := min(len(records), maxRowsPerMessage)
		m := quarantineMessage{Kind: kindTable, Rows: encodeRecords(now, records[:n]), WantsTable: wantsTable && n == len(records)}
		records = records[n:]
		if len(m.Rows) > 0 || m.WantsTable {
			e.sendQuarantineMessage(m, []view.Peer{to})
		}
	}
}
