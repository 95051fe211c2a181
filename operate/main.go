package main

import "os"

func main() {
	os.Exit(run(os.Args[1:], os.Getenv("CHICORY_KEY"), os.Stdin, os.Stdout, os.Stderr))
}
