package main

import (
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{Use: "chicoryrelay", Short: "chicoryrelay routes language-model requests and calls to plain services from callers to upstreams", SilenceUsage: true}
	root.AddCommand(serveCommand(), foundCommand(), checkCommand(), defaultsCommand())
	if root.Execute() != nil {
		os.Exit(1)
	}
}
