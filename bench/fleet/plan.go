package fleet

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/samber/oops"
)

// Offsets of the processes' ports from the base port; each relay uses the first three of its ten ports.
const (
	relayPorts              = 0
	relayStride             = 10
	enginePorts             = 200
	servicePorts            = 400
	platformPort            = 500
	weightsPort             = 501
	storePort               = 502
	maxRelays               = (enginePorts - relayPorts) / relayStride
	maxEngines              = servicePorts - enginePorts
	maxServices             = platformPort - servicePorts
	loopback                = "127.0.0.1"
	accountsPerOrganisation = 8
	defaultHealthTimeout    = 30 * time.Second
	// defaultStopTimeout is longer than the longest answers of the traces, about 40 s.
	defaultStopTimeout = time.Minute
)

// Plan describes the processes to start.
type Plan struct {
	// Base is the first port.
	Base int
	// Relays, Voters, Engines and Services are numbers of processes; voters are the relays that store the replicated log.
	Relays   int
	Voters   int
	Engines  int
	Services int
	// Centres and Regions are numbers of data centres and regions; relays, engines and services are assigned to them in turn.
	Centres int
	Regions int
	// Platform, Weights and Store start the VM list, the weight store and the KV store.
	Platform bool
	Weights  bool
	Store    bool
	Policy   string
	Model    string
	Version  string
	// Software are the software versions of the engines, assigned to them in turn; none is told or configured if there are none.
	Software []string
	Slots    int
	Cache    int
	Fenced   bool
	// Deadline is the assistants' deadline on the time to first token; 0 means none.
	Deadline time.Duration
	// EngineFlags and ServiceFlags are passed to each engine and each service.
	EngineFlags  []string
	ServiceFlags []string
	// Set holds path=value pairs that change each relay's settings, such as times.balancer=0s.
	Set []string
	// Binaries is the folder of the programs, Folder that of settings, logs and data.
	Binaries string
	Folder   string
	// Restart is the delay before a process that exited by itself is restarted; 0 means no restart.
	Restart time.Duration
	// Health is the timeout until all processes are healthy; 0 means 30 s.
	Health time.Duration
	// Patience is the timeout of a process's stop, in which relays complete their requests; 0 means 1 min.
	Patience time.Duration
}

// check returns an error for numbers that don't fit the ports or each other.
func (p *Plan) check() error {
	switch {
	case p.Base < 1024 || p.Base > 65000:
		return oops.Code("plan").Errorf("base: use a port from 1024 to 65000")
	case p.Relays < 0 || p.Relays > maxRelays || p.Engines < 0 || p.Engines > maxEngines || p.Services < 0 || p.Services > maxServices:
		return oops.Code("plan").Errorf("start at most %d relays, %d engines and %d services", maxRelays, maxEngines, maxServices)
	case p.Voters > p.Relays || p.Relays > 0 && p.Voters < 1:
		return oops.Code("plan").Errorf("voters: use a number from 1 to the number of relays")
	case p.Centres < 1 || p.Regions < 1 || p.Regions > p.Centres:
		return oops.Code("plan").Errorf("regions: use a number from 1 to the number of centres")
	}
	return nil
}

func (p *Plan) address(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(loopback), uint16(p.Base+port))
}

func (p *Plan) centre(i int) string { return fmt.Sprintf("centre%d", i%p.Centres+1) }

func (p *Plan) region(i int) string { return fmt.Sprintf("region%d", i%p.Centres%p.Regions+1) }

// software returns the software version of engine number i; empty means none.
func (p *Plan) software(i int) string {
	if len(p.Software) == 0 {
		return ""
	}
	return p.Software[i%len(p.Software)]
}

func vmName(i int) string { return fmt.Sprintf("vm%d", i+1) }

func (p *Plan) callerAddress(i int) netip.AddrPort { return p.address(relayPorts + relayStride*i) }

func (p *Plan) operatorAddress(i int) netip.AddrPort {
	return p.address(relayPorts + relayStride*i + 1)
}

func (p *Plan) peerAddress(i int) netip.AddrPort { return p.address(relayPorts + relayStride*i + 2) }

func (p *Plan) engineAddress(i int) netip.AddrPort { return p.address(enginePorts + i) }

func (p *Plan) serviceAddress(i int) netip.AddrPort { return p.address(servicePorts + i) }

// platformFlags returns the flags that put every upstream on the platform's list of VMs.
func (p *Plan) platformFlags() []string {
	var flags []string
	for i := range p.Engines {
		flags = append(flags, "--vm", fmt.Sprintf("engine%d=%s", i+1, p.engineAddress(i)))
	}
	for i := range p.Services {
		flags = append(flags, "--vm", fmt.Sprintf("booking%d=%s", i+1, p.serviceAddress(i)))
	}
	return flags
}
