package peers

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/redwingstall/redwingstall/internal/fleet/follow"
)

// confirmationPrefix is the first byte of an update that carries the age of its content: the
// store call was sent so long ago whose answer showed that there were no further changes. It
// cannot be the first byte of an encoded datagram.
const confirmationPrefix = 0x02

// confirmationBytes is the length of a confirmation with its prefix.
const confirmationBytes = 1 + 3*8

// confirmation is the age of an update's content, and when it was sent on the sender's own clock,
// which counts suspensions. The zero value is of an update without one.
type confirmation struct {
	process uint64
	sentAt  time.Duration
	age     time.Duration
}

// confirm puts the age of an update's content before the encoded update.
func (e *Exchange) confirm(encoded []byte, update follow.Update) []byte {
	if update.ConfirmedAt == 0 {
		return encoded
	}
	now := e.clock()
	stamped := make([]byte, 1, confirmationBytes+len(encoded))
	stamped[0] = confirmationPrefix
	stamped = binary.LittleEndian.AppendUint64(stamped, e.process)
	stamped = binary.LittleEndian.AppendUint64(stamped, uint64(now))
	stamped = binary.LittleEndian.AppendUint64(stamped, uint64(now-update.ConfirmedAt))
	return append(stamped, encoded...)
}

// cutConfirmation splits a received datagram.
func cutConfirmation(raw []byte) (confirmation, []byte) {
	if len(raw) < confirmationBytes || raw[0] != confirmationPrefix {
		return confirmation{}, raw
	}
	number := func(i int) uint64 { return binary.LittleEndian.Uint64(raw[1+8*i:]) }
	return confirmation{process: number(0), sentAt: time.Duration(number(1)), age: time.Duration(number(2))}, raw[confirmationBytes:]
}

const (
	// clockSamples is how many updates of a process must agree on the difference of the
	// clocks before what it confirms counts: within clockTolerance, and read at least
	// clockSpacing apart. The delay of the first one is unknown; updates that have waited
	// together are read at once, and disagree by the time between their sendings.
	clockSamples   = 3
	clockTolerance = 100 * time.Millisecond
	clockSpacing   = 100 * time.Millisecond
	// clockDrift bounds by how much the clocks of two machines diverge in a second.
	clockDrift = time.Millisecond
	// maxSenders bounds the processes whose clocks are known. Only watchers send updates.
	maxSenders = 64
	// replacedTime is how long updates of a sender's previous process are recognized, and
	// maxReplaced the number of its processes for which they are.
	replacedTime = time.Minute
	maxReplaced  = 4
)

// senderClock relates the clock of another process to that of this one.
type senderClock struct {
	process uint64
	// offset is the least difference that was seen between the two clocks, at updatedAt. It
	// is the true difference plus the delay of the fastest update.
	offset    time.Duration
	updatedAt time.Duration
	// samples is the number of updates that agree on it, and countedAt when the last one
	// was counted.
	samples   int
	countedAt time.Duration
	// replaced are the sender's previous processes, the last one at the end.
	replaced []replacedProcess
}

// replacedProcess is a process whose sender reported as another one at a time. An update of it that
// arrives later must not replace the clock of the newer process.
type replacedProcess struct {
	process uint64
	at      time.Duration
}

// isReplaced reports whether a process was replaced by the one of the clock. Nil knows none.
func (c *senderClock) isReplaced(now time.Duration, process uint64) bool {
	return c != nil && slices.ContainsFunc(c.replaced, func(r replacedProcess) bool {
		return r.process == process && now-r.at < replacedTime
	})
}

// next returns the clock of the process that replaces the one of c, which may be nil.
func (c *senderClock) next(now, sample time.Duration, process uint64) *senderClock {
	next := &senderClock{process: process, offset: sample, updatedAt: now}
	if c != nil {
		next.replaced = append(slices.Clone(c.replaced), replacedProcess{c.process, now})
		next.replaced = next.replaced[max(len(next.replaced)-maxReplaced, 0):]
	}
	return next
}

// add takes a difference into account that was seen at a time.
func (c *senderClock) add(now, sample time.Duration) {
	drift := time.Duration((now - c.updatedAt).Seconds() * float64(clockDrift))
	offset := c.offset + drift
	switch {
	case c.samples == 0 || sample < offset-clockTolerance:
		c.samples, c.countedAt = 1, now // what was seen before had waited
	case sample <= offset+clockTolerance && now-c.countedAt >= clockSpacing:
		c.samples++
		c.countedAt = now
	}
	c.offset, c.updatedAt = min(sample, offset), now
}

// senderClocks convert what other processes confirm to the clock of this one. An update may have
// waited anywhere on its way: in a buffer of a process or a machine that was suspended, here, at
// the sender or at a reporter that forwards it. So its age on arrival is not the one that it
// carries; but no update arrives before it was sent, and the fastest one bounds how the clocks
// differ. The zero value knows none.
type senderClocks struct{ byName map[string]*senderClock }

// confirmedAt returns when the content of an update was confirmed, on this process's clock, or
// zero if that is not known yet.
func (s *senderClocks) confirmedAt(now time.Duration, from string, stamp confirmation) time.Duration {
	if stamp.process == 0 || stamp.age < 0 || stamp.sentAt < stamp.age {
		return 0
	}
	sample := now - stamp.sentAt
	clock := s.byName[from]
	if clock.isReplaced(now, stamp.process) {
		return 0
	}
	if clock == nil || clock.process != stamp.process {
		if s.byName == nil || len(s.byName) >= maxSenders {
			s.byName = map[string]*senderClock{}
		}
		clock = clock.next(now, sample, stamp.process)
		s.byName[from] = clock
	}
	if clock.add(now, sample); clock.samples < clockSamples {
		return 0
	}
	return max(stamp.sentAt-stamp.age+clock.offset, 0)
}
