package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/samber/oops"
	"github.com/spf13/cobra"

	"github.com/chicoryrelay/chicoryrelay/bench/client"
)

func bookCommand() *cobra.Command {
	var relay, key, service, path, method, body, idempotency string
	var timeout time.Duration
	cmd := &cobra.Command{
		Use:   "book",
		Short: "make one call to a plain service and print its outcome",
		Long:  "Makes one call to a plain service with an Idempotency-Key and prints its outcome: ran, not run or may have run. Exits with 1 unless it ran.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			addresses, err := parseAddresses("relay", []string{relay})
			if err != nil {
				return err
			}
			if idempotency == "" {
				idempotency = uuid.Must(uuid.NewV7()).String()
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), timeout)
			defer cancel()
			answer, err := client.New(1).Send(ctx, client.Request{
				Address: addresses[0], Method: method, Path: "/services/" + service + "/" + strings.TrimPrefix(path, "/"),
				Key: key, Body: []byte(body), Header: map[string]string{"Idempotency-Key": idempotency},
			})
			outcome := bookingOutcome(answer, err)
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "outcome=%q status=%d key=%s time=%s body=%q\n", outcome, answer.Status, idempotency, answer.End.Round(time.Microsecond), strings.TrimSpace(string(answer.Raw)))
			if outcome != "ran" {
				return oops.Code("booking").Errorf("outcome of the call: %s", outcome)
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&relay, "relay", "127.0.0.1:7100", "address of a relay")
	flags.StringVar(&key, "key", "key-baths-1", "the account's key")
	flags.StringVar(&service, "service", "booking", "plain service")
	flags.StringVar(&path, "path", "/slots", "path below the service")
	flags.StringVar(&method, "method", http.MethodPost, "HTTP method")
	flags.StringVar(&body, "body", `{"slot":1}`, "request body")
	flags.StringVar(&idempotency, "idempotency", "", "Idempotency-Key; a new UUIDv7 if it is not set")
	flags.DurationVar(&timeout, "timeout", 30*time.Second, "timeout of the whole command")
	return cmd
}

// bookingOutcome returns the outcome in a refusal or derives it from the status; without an answer the call may have run.
func bookingOutcome(answer client.Answer, err error) string {
	switch {
	case answer.Refusal != nil && answer.Refusal.Outcome != "":
		return answer.Refusal.Outcome
	case err != nil || answer.Status >= http.StatusInternalServerError:
		return "may have run"
	case answer.Status >= http.StatusBadRequest:
		return "not run"
	default:
		return "ran"
	}
}
