// Command rig plays one case of the review against the programs of the deploy file. It starts
// them as separate processes on loopback addresses and takes the parts of the platform, of the
// operator, of clients and of upstreams itself.
//
// It exits with 0 if the rule of the case held, with 1 if it was broken, and with 2 if the case
// could not run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sort"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout bounds a case. Scripts may run for 120 s.
const caseTimeout = 117 * time.Second

// verdict is the result of a case.
type verdict struct {
	isBroken bool
	reason   string
}

func held(format string, args ...any) verdict {
	return verdict{reason: fmt.Sprintf(format, args...)}
}

func broken(format string, args ...any) verdict {
	return verdict{isBroken: true, reason: fmt.Sprintf(format, args...)}
}

// cases are the cases by name. Each gets a site without processes. The file of a case adds it.
var cases = map[string]func(ctx context.Context, s *site, hasTrouble bool) (verdict, error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE NODE-PROGRAM RECORD")
		return exitNotRun
	}
	name, program, recordPath := os.Args[1], os.Args[2], os.Args[3]
	play, isKnown := cases[name]
	if !isKnown {
		known := make([]string, 0, len(cases))
		for other := range cases {
			known = append(known, other)
		}
		sort.Strings(known)
		fmt.Fprintf(os.Stderr, "rig: case %q is none of %v\n", name, known)
		return exitNotRun
	}
	record, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun
	}
	defer record.close()
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	result, err := playOn(ctx, program, record, play)
	if err != nil {
		record.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "rig: the case could not run:", err)
		return exitNotRun
	}
	word, code := "held", exitHeld
	if result.isBroken {
		word, code = "BROKEN", exitBroken
	}
	record.add("rule %s: %s", word, result.reason)
	fmt.Printf("%s: rule %s: %s\n", name, word, result.reason)
	return code
}

// playOn plays the case on a new site and ends all of its processes.
func playOn(ctx context.Context, program string, record *record, play func(context.Context, *site, bool) (verdict, error)) (verdict, error) {
	s, err := newSite(program, record)
	if err != nil {
		return verdict{}, err
	}
	defer s.close()
	hasTrouble := os.Getenv("TROUBLE") != "0"
	record.add("trouble: %v", hasTrouble)
	result, err := play(ctx, s, hasTrouble)
	if err == nil && ctx.Err() != nil {
		err = errors.New("out of time")
	}
	return result, err
}
