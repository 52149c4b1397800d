//go:build review

// Command review2 plays the cases of review/: it starts the project's program as separate
// processes on loopback addresses, with stand-ins of the platform's store, upstreams and
// clients, and checks one rule by what these see. It exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"strings"
)

// scene is what a case needs.
type scene struct {
	fleet     *fleet
	record    *record
	isTrouble bool
}

var cases = map[string]func(s *scene) (isBroken bool, err error){
	"repeated-answer": playRepeatedAnswer,
	"endless-body":    playEndlessBody,
}

func main() {
	if len(os.Args) != 5 {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE COMMAND RECORD FOLDER")
		os.Exit(2)
	}
	isBroken, err := play(os.Args[1], strings.Fields(os.Args[2]), os.Args[3], os.Args[4])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		os.Exit(2)
	case isBroken:
		os.Exit(1)
	}
}

func play(name string, command []string, path, folder string) (bool, error) {
	run, isKnown := cases[name]
	if !isKnown {
		return false, fmt.Errorf("no case %q", name)
	}
	r, err := newRecord(path)
	if err != nil {
		return false, err
	}
	defer r.file.Close()
	f, err := newFleet(folder, command)
	if err != nil {
		return false, err
	}
	defer f.stop()
	s := &scene{fleet: f, record: r, isTrouble: os.Getenv("TROUBLE") != "0"}
	isBroken, err := run(s)
	r.printf("result: broken=%t error=%v", isBroken, err)
	return isBroken, err
}
