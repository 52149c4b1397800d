//go:build review

// Command review-standin plays the platform, upstreams and clients for the scripts of the
// review. It starts the project's program as the deploy file does, and records what was
// sent, answered and run.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() {
	cases := map[string]func(d *deployment, trouble bool) (broken bool, err error){
		"second-answer":   playSecondAnswer,
		"spoiled-release": playSpoiledRelease,
		"endless-head":    playEndlessHead,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*deployment, bool) (bool, error), path string) int {
	d, err := newDeployment(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer d.close()
	trouble := os.Getenv("TROUBLE") != "0"
	d.record("trouble: %v", trouble)
	broken, err := run(d, trouble)
	switch {
	case err != nil:
		d.record("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken:
		d.record("result: the rule was broken")
		return exitBroken
	}
	d.record("result: the rule held")
	return exitHeld
}

// after returns the time since the start in seconds.
func after(start time.Time) float64 { return time.Since(start).Seconds() }
