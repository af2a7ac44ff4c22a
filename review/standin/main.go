// Command standin plays one case of the review: it starts daemons as processes, and stands in for the platform, the
// databases and the clients.
package main

import (
	"flag"
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// A play plays a case, and returns the breaches of its rule.
type play func(w *world, trouble bool) ([]string, error)

type playedCase struct {
	options options
	play    play
}

var cases = map[string]playedCase{
	"pinned": {options{[]string{"db-a", "db-b", "db-c"}, []string{"gampaha", "colombo", "kalutara"}, "db-a"}, playPinned},
	"lost":   {options{[]string{"db-a", "db-b", "db-c"}, []string{"colombo", "gampaha", "kalutara"}, "db-a"}, playLost},
	"one":    {options{[]string{"db-a", "db-b", "db-c"}, []string{"colombo", "gampaha", "kalutara"}, "db-a"}, playOne},
	"gone":   {options{[]string{"db-a", "db-b", "db-c"}, []string{"colombo", "gampaha", "kalutara"}, "db-a"}, playGone},
}

func main() { os.Exit(runCase()) }

func runCase() int {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file of the record")
	trouble := flag.Bool("trouble", true, "play the disruption")
	keep := flag.Bool("keep", false, "keep the logs of the daemons")
	flag.Parse()
	played, ok := cases[*name]
	if !ok {
		fmt.Println("no such case")
		return exitNotRun
	}
	r, err := newRecord(*path)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	w, err := newWorld(r, played.options)
	if w != nil {
		defer w.close(*keep)
	}
	if err != nil {
		r.say("could not run: %s", err)
		return exitNotRun
	}
	breaches, err := played.play(w, *trouble)
	if err != nil {
		r.say("could not run: %s", err)
		return exitNotRun
	}
	if len(breaches) == 0 {
		r.say("the rule held")
		return exitHeld
	}
	for _, b := range breaches {
		r.say("BROKEN %s", b)
	}
	return exitBroken
}
