package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"github.com/samber/oops"
	"github.com/spf13/cobra"

	"github.com/chicoryrelay/chicoryrelay/bench/client"
)

type askFlags struct {
	relays   []string
	key      string
	model    string
	prompt   string
	system   string
	tokens   int
	from     string
	resume   bool
	attempts int
	timeout  time.Duration
	direct   bool
	weights  string
}

func askCommand() *cobra.Command {
	var f askFlags
	cmd := &cobra.Command{
		Use:   "ask",
		Short: "stream one chat answer, print its text and check its event ids",
		Long:  "Streams one chat answer and prints its text. Exits with 1 if the answer is truncated, refused or out of order.",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&f.relays, "relay", []string{"127.0.0.1:7100"}, "addresses of relays, used in turn when resuming")
	flags.StringVar(&f.key, "key", "key-coop-1", "the account's key")
	flags.StringVar(&f.model, "model", "batch", "assistant to ask")
	flags.StringVar(&f.prompt, "prompt", "Is tank four ready to be drawn?", "user message")
	flags.StringVar(&f.system, "system", "", "system message")
	flags.IntVar(&f.tokens, "tokens", 32, "length of the answer in tokens")
	flags.StringVar(&f.from, "from", "", "id of the last event received before; the answer continues after it")
	flags.BoolVar(&f.resume, "resume", false, "resume a truncated answer after its last event")
	flags.IntVar(&f.attempts, "attempts", 5, "largest number of resumes")
	flags.DurationVar(&f.timeout, "timeout", time.Minute, "timeout of the whole command")
	flags.BoolVar(&f.direct, "direct", false, "the address is that of an engine: resume with X-Resume-From")
	flags.StringVar(&f.weights, "weights", "", "weights version requested from an engine")
	return cmd
}

func (f *askFlags) request(address netip.AddrPort, id, last string) (client.Request, error) {
	messages := []map[string]string{{"role": "user", "content": f.prompt}}
	if f.system != "" {
		messages = append([]map[string]string{{"role": "system", "content": f.system}}, messages...)
	}
	body, err := json.Marshal(map[string]any{
		"model": f.model, "stream": true, "stream_options": map[string]bool{"include_usage": true},
		"max_tokens": f.tokens, "messages": messages,
	})
	r := client.Request{Address: address, Method: "POST", Path: "/v1/chat/completions", Key: f.key, Body: body, Resume: last}
	if f.direct {
		r.Header = map[string]string{"X-Request-Id": id}
		if f.weights != "" {
			r.Header["X-Weights"] = f.weights
		}
		if next, ok := client.Next(last); ok {
			r.Header["X-Resume-From"] = fmt.Sprint(next)
		}
	}
	return r, err
}

func (f *askFlags) run(cmd *cobra.Command) error {
	addresses, err := parseAddresses("relay", f.relays)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), f.timeout)
	defer cancel()
	sender := client.New(1)
	id, last := uuid.NewString(), f.from
	defer func() { _, _ = fmt.Fprintln(cmd.OutOrStdout()) }()
	for attempt := 0; ; attempt++ {
		request, err := f.request(addresses[attempt%len(addresses)], id, last)
		if err != nil {
			return err
		}
		answer, err := sender.Send(ctx, request)
		_, _ = fmt.Fprint(cmd.OutOrStdout(), answer.Text)
		last = answer.Last
		if faults := answer.Duplicates + answer.Crossed + answer.Gaps; faults > 0 {
			return oops.Code("order").Errorf("wrong event ids: %d repeated, %d of another request, %d gaps", answer.Duplicates, answer.Crossed, answer.Gaps)
		}
		if answer.Whole {
			_, _ = fmt.Fprintf(cmd.ErrOrStderr(), "whole=true tokens=%d resumes=%d first=%s end=%s last=%s stale=%t%s\n", f.tokens, attempt,
				answer.First.Round(time.Microsecond), answer.End.Round(time.Microsecond), last, answer.Header.Get("Chicoryrelay-Config") == "stale", usageText(answer.Usage))
			return nil
		}
		refused := err == nil && !answer.Stream
		if !f.resume || attempt >= f.attempts || refused || ctx.Err() != nil {
			return truncationError(answer, err)
		}
	}
}

func usageText(usage *client.Usage) string {
	if usage == nil {
		return ""
	}
	return fmt.Sprintf(" prompt=%d cached=%d", usage.Prompt, usage.Details.Cached)
}

func truncationError(answer client.Answer, err error) error {
	failure := oops.Code("truncated").With("status", answer.Status, "tokens", answer.Tokens)
	if refusal := answer.Refusal; refusal != nil {
		return failure.Errorf("answer truncated after %d tokens, last event %q: status %d, %s (%s): %s", answer.Tokens, answer.Last, answer.Status, refusal.Type, refusal.Outcome, refusal.Message)
	}
	if err != nil {
		return failure.Errorf("answer truncated after %d tokens, last event %q: %w", answer.Tokens, answer.Last, err)
	}
	return failure.Errorf("answer truncated after %d tokens, last event %q: status %d", answer.Tokens, answer.Last, answer.Status)
}

func parseAddresses(flag string, texts []string) ([]netip.AddrPort, error) {
	addresses := make([]netip.AddrPort, len(texts))
	for i, text := range texts {
		var err error
		if addresses[i], err = netip.ParseAddrPort(text); err != nil {
			return nil, oops.Code("flag").Errorf("--%s: give an IP address and port, such as 127.0.0.1:7100: %v", flag, err)
		}
	}
	if len(addresses) == 0 {
		return nil, oops.Code("flag").Errorf("--%s: give at least one address", flag)
	}
	return addresses, nil
}
