// Command cases starts one case of the review: the project's processes, stand-ins for what is around them, and the judge of the rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

func main() {
	if len(os.Args) != 4 {
		stopWith(2, "usage: cases NAME ROOT RECORD")
	}
	run := map[string]func(*site) bool{"wall": wall, "attempts": attempts, "stranger": stranger, "models": models}[os.Args[1]]
	if run == nil {
		stopWith(2, "unknown case "+os.Args[1])
	}
	r := newRecord(os.Args[3])
	s := newSite(os.Args[2], r)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		s.stop()
		stopWith(2, "interrupted")
	}()
	defer func() {
		if failure := recover(); failure != nil {
			s.stop()
			stopWith(2, fmt.Sprint("the case can't run: ", failure))
		}
	}()
	// A script runs for 120 s at most.
	time.AfterFunc(110*time.Second, func() { s.fail("it takes too long") })
	broken := run(s)
	s.stop()
	if broken {
		r.add("the rule is broken")
		fmt.Println("broken")
		os.Exit(1)
	}
	r.add("the rule holds")
	fmt.Println("held")
}
