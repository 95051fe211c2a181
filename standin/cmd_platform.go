package main

import (
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/samber/oops"
	"github.com/spf13/cobra"

	"github.com/chicoryrelay/chicoryrelay/standin/platform"
)

func platformCommand() *cobra.Command {
	var listen string
	var lag time.Duration
	var entries []string
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "serve a stand-in for the platform's list of live and leaving VMs",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			vms, err := parseVMs(entries)
			if err != nil {
				return err
			}
			list := platform.New(platform.WithLag(lag), platform.WithVMs(vms...))
			return serve(cmd.Context(), "platform", listen, &http.Server{Handler: list.Handler(), ReadHeaderTimeout: 30 * time.Second})
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:8200", "IP address and port to listen on")
	flags.DurationVar(&lag, "lag", 2*time.Second, "delay until changes to the list are visible")
	flags.StringArrayVar(&entries, "vm", nil, "live VM as name=address; may be repeated")
	return cmd
}

func parseVMs(entries []string) ([]platform.VM, error) {
	var vms []platform.VM
	for _, entry := range entries {
		name, text, _ := strings.Cut(entry, "=")
		address, err := netip.ParseAddrPort(text)
		if name == "" || err != nil {
			return nil, oops.Code("flag").Errorf("--vm: give name=address, such as engine1=127.0.0.1:8000, not %q", entry)
		}
		vms = append(vms, platform.VM{Name: name, Address: address, State: platform.Live})
	}
	return vms, nil
}
