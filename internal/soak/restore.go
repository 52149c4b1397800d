package soak

import (
	"context"
	"time"

	"github.com/redwingstall/redwingstall/platform/platformtest"
)

const (
	// backupInterval is the time between two copies of the store, and maxBackupAge the
	// age of the oldest one that is kept.
	backupInterval = 250 * time.Millisecond
	maxBackupAge   = 10 * time.Second
	// maxRewriteDelay limits how long the operator and the servers take to write again
	// what the store has lost.
	maxRewriteDelay = 2 * time.Second
	// maxRepeatDelay limits the time until a second restore.
	maxRepeatDelay = 4 * time.Second
)

// makeBackups copies the store at intervals.
func (s *Soak) makeBackups(ctx context.Context) {
	for ctx.Err() == nil {
		copied := s.store.Backup()
		s.mu.Lock()
		s.backups = append(s.backups, copied)
		s.backups = s.backups[max(0, len(s.backups)-int(maxBackupAge/backupInterval)):]
		s.mu.Unlock()
		time.Sleep(backupInterval)
	}
}

// pickBackup returns one of the copies that are kept.
func (s *Soak) pickBackup(draw int) platformtest.Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backups[draw%len(s.backups)]
}

// restoreStore recovers the store from an older copy, at once or after an outage. Some
// time later the operator and the servers write again what was lost. In a third of the
// cases, the store is recovered from an older copy a second time.
func (s *Soak) restoreStore(pause time.Duration, draw int) {
	s.restoreOnce(pause, draw)
	if draw%3 == 0 {
		time.Sleep(maxRepeatDelay * time.Duration(draw%100) / 100)
		s.restoreOnce(0, draw/7)
	}
}

func (s *Soak) restoreOnce(outage time.Duration, draw int) {
	if draw%2 == 0 {
		outage = 0
	}
	s.markStoreDisturbed()
	s.countPendingRewrites(1)
	s.store.SetFault(platformtest.StoreBusy)
	time.Sleep(outage)
	rewrite := s.store.Restore(s.pickBackup(draw / 2))
	s.store.SetFault(platformtest.StoreHealthy)
	time.Sleep(maxRewriteDelay * time.Duration(draw/100%100) / 100)
	rewrite()
	s.countPendingRewrites(-1)
	s.markStoreDisturbed()
}

func (s *Soak) countPendingRewrites(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingRewrites += change
}

// isRewritePending reports whether the store may lack writes of the operator and of the
// backend servers.
func (s *Soak) isRewritePending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pendingRewrites > 0
}
