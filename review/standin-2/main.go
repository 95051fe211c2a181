package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
)

// running is the deployment that a signal ends.
var running atomic.Pointer[fleet]

// A case returns whether the rule was broken; an error means that it couldn't run.
var cases = map[string]func(root, dir string, trouble bool) (broken bool, err error){
	"refused": runRefused,
	"version": runVersion,
	"poison":  runPoison,
	"stream":  runPoisonStream,
	"build":   runSoftware,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE ROOT FOLDER")
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		if f := running.Load(); f != nil {
			f.stop()
		}
		os.Exit(2)
	}()
	broken, err := cases[os.Args[1]](os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		os.Exit(2)
	case broken:
		fmt.Println("the rule was broken; see record.txt")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
