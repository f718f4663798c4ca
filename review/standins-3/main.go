//go:build review3

// Command standins-3 plays the cases of the third review that are scripts: it starts the project's processes beside
// stand-ins of the platform, of leafs and of clients, and checks one rule by what these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play plays a case. broken says that the rule was broken; the error says that the case could not run.
type play func(w *world) (broken bool, err error)

func main() {
	os.Exit(run())
}

func run() int {
	cases := map[string]play{
		"mixed": playMixed, "slow-bodies": playSlowBodies, "drill": playDrill, "quota": playQuota, "pause": playPause,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-3 CASE RECORD")
		return exitNotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	w, err := newWorld(r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.say("the case could not run: %v", err)
		return exitNotRun
	}
	defer w.end()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		w.end()
		os.Exit(exitNotRun)
	}()
	broken, err := cases[os.Args[1]](w)
	switch {
	case err != nil:
		r.say("the case could not run: %v", err)
		return exitNotRun
	case broken:
		r.say("the rule was broken")
		return exitBroken
	}
	r.say("the rule held")
	return exitHeld
}
