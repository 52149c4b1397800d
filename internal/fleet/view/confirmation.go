package view

import (
	"slices"
	"time"

	"github.com/redwingstall/redwingstall"
)

// Confirm records that the view has all changes that the store acknowledged before a time, on
// the clock of package boottime. The time is when the store call was sent whose answer shows
// it: when the answer arrived says nothing, since it may have waited while the process or the
// machine was suspended. The changes must have been applied before.
func (v *View) Confirm(at time.Duration) {
	for {
		known := v.confirmedAt.Load()
		if int64(at) <= known || v.confirmedAt.CompareAndSwap(known, int64(at)) {
			return
		}
	}
}

// ConfirmedAt returns the latest time of Confirm, or zero. A snapshot that is read after it is
// at least that new.
func (v *View) ConfirmedAt() time.Duration { return time.Duration(v.confirmedAt.Load()) }

// withoutKeys returns the accounts without their keys, which are not needed beside the
// directory.
func withoutKeys(list []redwingstall.ClientAccount) []redwingstall.ClientAccount {
	list = slices.Clone(list)
	for i := range list {
		list[i].Keys = nil
	}
	return list
}
