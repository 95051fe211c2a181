#!/usr/bin/env bash
# Runs the whole request path on embedded defaults: three relay VMs, four engines and three booking replicas as separate
# processes. Asks, books, resends the booking at another VM, drains an upstream, and stops the fleet.
source "$(dirname "$0")/lib.sh"

up --set times.balancer=100ms
echo "== a streamed answer through $(relay_address 1)"
ask 1
echo "== a booking, and the same booking sent again to another VM"
book 2 --idempotency demo-1
book 3 --idempotency demo-1
echo "== a change that is in force everywhere when it is accepted"
ctl 1 do 'drain upstream engine1'
ctl 2 show upstreams where kind = engine
