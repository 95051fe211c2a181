package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/samber/oops"
	"github.com/spf13/cobra"
)

func runsCommand() *cobra.Command {
	var address, idempotency string
	var timeout time.Duration
	cmd := &cobra.Command{
		Use:   "runs",
		Short: "print how often a stand-in of a plain service ran a key",
		Long:  "Prints how often a stand-in of a plain service ran the call with an Idempotency-Key; without a key, one line for each key with its number of runs.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), timeout)
			defer cancel()
			runs, err := readRuns(ctx, address)
			if err != nil {
				return err
			}
			if idempotency != "" {
				_, err = fmt.Fprintln(cmd.OutOrStdout(), runs[idempotency])
				return err
			}
			for key, n := range runs {
				if _, err := fmt.Fprintln(cmd.OutOrStdout(), key, n); err != nil {
					return err
				}
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&address, "address", "127.0.0.1:7500", "address of a service")
	flags.StringVar(&idempotency, "idempotency", "", "Idempotency-Key; all keys if it is not set")
	flags.DurationVar(&timeout, "timeout", 5*time.Second, "timeout of the whole command")
	return cmd
}

func readRuns(ctx context.Context, address string) (map[string]int, error) {
	addresses, err := parseAddresses("address", []string{address})
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addresses[0].String()+"/runs", nil)
	if err != nil {
		return nil, oops.Code("runs").Wrap(err)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, oops.Code("runs").Errorf("start the service, or give its address with --address: %w", err)
	}
	defer func() { _ = answer.Body.Close() }()
	var counts struct {
		Runs map[string]int `json:"runs"`
	}
	if err := json.NewDecoder(answer.Body).Decode(&counts); err != nil || answer.StatusCode != http.StatusOK {
		return nil, oops.Code("runs").With("status", answer.StatusCode).Errorf("%s is not a stand-in of a plain service: give the address of one with --address", address)
	}
	return counts.Runs, nil
}
