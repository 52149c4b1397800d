//go:build review

// Command rig3 plays one case of the review on loopback addresses: rig3 CASE RECORD. It exits with 1
// if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 the
// disruption is left out.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	cases := map[string]func(r *record, hasTrouble bool) (isBroken bool, err error){
		"lost-registration": lostRegistration,
		"slow-download":     slowDownload,
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(exitNotRun)
	}
	isBroken, err := play(r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.printf("could not run: %v", err)
		os.Exit(exitNotRun)
	case isBroken:
		r.printf("the rule was broken")
		os.Exit(exitBroken)
	}
	r.printf("the rule held")
	os.Exit(exitHeld)
}
