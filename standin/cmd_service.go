package main

import (
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/chicoryrelay/chicoryrelay/standin/service"
)

func serviceCommand() *cobra.Command {
	var listen, name, crashOn string
	var delay time.Duration
	var fault service.Fault
	cmd := &cobra.Command{
		Use:   "service",
		Short: "serve a stand-in for a plain service that counts the runs of each Idempotency-Key",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if crashOn != "" {
				fault.CrashOn = &crashOn
			}
			s := service.New(service.WithName(name), service.WithDelay(delay), service.WithFault(fault))
			return serve(cmd.Context(), "service", listen, &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 30 * time.Second})
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:8100", "IP address and port to listen on")
	flags.StringVar(&name, "name", "booking", "service name in responses")
	flags.DurationVar(&delay, "delay", 5*time.Millisecond, "duration of each call")
	flags.IntVar(&fault.Close, "close", 0, "number of calls that run, after which the connection is closed without a response")
	flags.IntVar(&fault.Silent, "silent", 0, "number of calls that run and never get a response")
	flags.IntVar(&fault.Late, "late", 0, "number of calls whose response is delayed by --late-by")
	flags.StringVar(&fault.For, "late-by", "20s", "delay of the responses counted by --late")
	flags.IntVar(&fault.Refuse, "refuse", 0, "number of calls that are rejected with status 503 without running")
	flags.IntVar(&fault.Fail, "fail", 0, "number of calls that run and are then answered with --fail-with")
	flags.IntVar(&fault.Status, "fail-with", 503, "status of the responses counted by --fail")
	flags.StringVar(&crashOn, "crash-on", "", "text at which the process exits as soon as it begins to run a call whose body contains it")
	return cmd
}
