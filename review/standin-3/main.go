// Command review3 runs the cases of the third review: the project's processes beside stand-ins of clients, servers and the platform.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxTime limits a run.
const maxTime = 110 * time.Second

// cases are the cases by name; each returns whether the rule held.
var cases = map[string]func(s *site, trouble bool) (held bool, err error){
	"late":     late,
	"size":     size,
	"software": software,
	"wall":     wall,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE ROOT RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, root, record string) int {
	root, err := filepath.Abs(root)
	if err != nil {
		return 2
	}
	s, err := newSite(root, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.stop()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-ended:
		case <-time.After(maxTime):
		}
		s.stop()
		os.Exit(2)
	}()
	held, err := cases[name](s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		s.logf("error: %v", err)
		fmt.Fprintln(os.Stderr, errors.Join(errNoRun, err))
		return 2
	case !held:
		return 1
	}
	return 0
}
