package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"
	"github.com/spf13/cobra"

	"github.com/chicoryrelay/chicoryrelay/bench/fleet"
)

// ticksPerSecond is the number of clock ticks per second in the CPU times of /proc on Linux.
const ticksPerSecond = 100

// settleTime is the wait until leases and digests are exchanged at their regular intervals.
const settleTime = 10 * time.Second

func costCommand() *cobra.Command {
	var sizes []int
	var base int
	var window time.Duration
	cmd := &cobra.Command{
		Use:   "cost",
		Short: "measure the cost of the control plane on idle VMs",
		Long:  "Starts fleets of several sizes without traffic and prints CPU time, bytes exchanged with other VMs and memory of the leader, of the other control VMs and of the entry VMs.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, _ = fmt.Fprintln(cmd.OutOrStdout(), "| VMs | role | processor | bytes/s | messages/s | memory |\n| --- | --- | --- | --- | --- | --- |")
			for _, size := range sizes {
				if err := measureCost(cmd, size, base, window); err != nil {
					return err
				}
			}
			return nil
		},
	}
	cmd.Flags().IntSliceVar(&sizes, "vms", []int{3, 6, 12}, "numbers of relay VMs; three of them are control VMs")
	cmd.Flags().IntVar(&base, "base", 23100, "first port")
	cmd.Flags().DurationVar(&window, "window", 20*time.Second, "length of the measurement")
	return cmd
}

func measureCost(cmd *cobra.Command, size, base int, window time.Duration) error {
	plan := fleet.Plan{
		Base: base, Relays: size, Voters: 3, Engines: 4, Services: 1, Centres: 1, Regions: 1, Model: "base", Version: "1", Slots: 16, Cache: 200_000,
		Set: []string{"times.balancer=0s", "log=error"},
	}
	if err := preparePlan(&plan); err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(plan.Folder) }()
	running, err := fleet.Start(cmd.Context(), plan)
	if err != nil {
		return err
	}
	defer running.Stop()
	if !sleep(cmd.Context(), settleTime) {
		return cmd.Context().Err()
	}
	before, err := sampleAll(cmd.Context(), running)
	if err != nil {
		return err
	}
	if !sleep(cmd.Context(), window) {
		return cmd.Context().Err()
	}
	after, err := sampleAll(cmd.Context(), running)
	if err != nil {
		return err
	}
	for _, role := range []string{"leader", "control", "entry"} {
		printCost(cmd, size, role, before, after, window)
	}
	return nil
}

// usage is a sample of one VM's counters.
type usage struct {
	role       string
	cpuSeconds float64
	bytes      float64
	messages   float64
	memory     float64
}

func sampleAll(ctx context.Context, running *fleet.Fleet) ([]usage, error) {
	var list []usage
	relays := 0
	for _, member := range running.Members() {
		if member.Kind != "relay" {
			continue
		}
		relays++
		u, err := sampleOne(ctx, *member.Operators, member.Process)
		if err != nil {
			return nil, err
		}
		switch {
		case relays > 3:
			u.role = "entry"
		case u.role == "":
			u.role = "control"
		}
		list = append(list, u)
	}
	return list, nil
}

func sampleOne(ctx context.Context, operators netip.AddrPort, pid int) (usage, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operators.String()+"/debug/vars", nil)
	if err != nil {
		return usage{}, err
	}
	request.Header.Set("Authorization", "Bearer "+fleet.Key("coop-admin"))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return usage{}, oops.Code("cost").Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	var vars struct {
		Bytes    float64 `json:"peer_bytes"`
		Messages float64 `json:"peer_messages"`
		Leases   float64 `json:"leases_granted"`
	}
	if err := json.NewDecoder(response.Body).Decode(&vars); err != nil {
		return usage{}, oops.Code("cost").Wrap(err)
	}
	u := usage{bytes: vars.Bytes, messages: vars.Messages}
	if vars.Leases > 0 {
		u.role = "leader"
	}
	u.cpuSeconds, u.memory, err = readProcess(pid)
	return u, err
}

// readProcess returns a process's CPU time in seconds and its resident memory in bytes.
func readProcess(pid int) (cpuSeconds, memory float64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, oops.Code("cost").Wrap(err)
	}
	// Fields from the third on follow the program's name in parentheses: utime and stime are the 14th and 15th, rss the 24th.
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	number := func(i int) float64 {
		value, _ := strconv.ParseFloat(fields[i-3], 64)
		return value
	}
	return (number(14) + number(15)) / ticksPerSecond, number(24) * float64(os.Getpagesize()), nil
}

func printCost(cmd *cobra.Command, size int, role string, before, after []usage, window time.Duration) {
	var sum usage
	count := 0.0
	for i, u := range after {
		if u.role != role {
			continue
		}
		count++
		sum.cpuSeconds += u.cpuSeconds - before[i].cpuSeconds
		sum.bytes += u.bytes - before[i].bytes
		sum.messages += u.messages - before[i].messages
		sum.memory += u.memory
	}
	if count == 0 {
		return
	}
	seconds := count * window.Seconds()
	_, _ = fmt.Fprintf(cmd.OutOrStdout(), "| %d | %s | %.2f%% | %.0f | %.1f | %.1f MB |\n",
		size, role, 100*sum.cpuSeconds/seconds, sum.bytes/seconds, sum.messages/seconds, sum.memory/count/1e6)
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
