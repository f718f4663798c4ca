//go:build review2

// Command standins-2 plays the cases of the second review that are scripts: it starts a small deployment of the
// project's program on loopback addresses, with stand-ins for store, leaves and clients, plays one disruption and
// judges one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// verdict is what a case has found.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(w *world, trouble bool) (verdict, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE RECORD-FILE")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(w *world, trouble bool) (verdict, error), recordPath string) int {
	w, err := newWorld(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	}
	defer w.end()
	v, err := run(w, os.Getenv("TROUBLE") != "0")
	if err != nil {
		w.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	}
	w.mutex.Lock()
	answers := fmt.Sprint(w.answers)
	w.mutex.Unlock()
	w.note("answers: %s", answers)
	fmt.Println("answers:", answers)
	fmt.Println(v.text)
	if v.broken {
		w.note("RULE BROKEN: %s", v.text)
		return 1
	}
	w.note("rule held: %s", v.text)
	return 0
}
