package directory

import (
	"cmp"
	"hash/fnv"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chicoryrelay/chicoryrelay/relay/peer"
)

// Encode returns the message that describes upstreams to other VMs; equal sets have equal checksums.
func Encode(upstreams []Upstream) *peer.Board {
	board := &peer.Board{}
	for i := range upstreams {
		u := &upstreams[i]
		entry := &peer.BoardUpstream{
			Id: u.ID, Service: u.Service, Address: u.Address.String(), Centre: u.Centre, Slots: uint32(u.Slots), Leaving: u.Leaving,
			Cold: uint32(u.WarmUp / warmUpRounding * warmUpRounding / time.Millisecond), Loading: u.Loading, Software: u.Software,
		}
		if !u.StartedAt.IsZero() {
			entry.Born = u.StartedAt.UnixMilli()
		}
		for _, m := range u.Models {
			entry.Models = append(entry.Models, &peer.BoardModel{Name: m.Name, Weights: m.Weights})
		}
		board.Upstreams = append(board.Upstreams, entry)
	}
	// The message has no map fields, so equal sets have equal bytes.
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(board)
	if err != nil {
		panic("directory: " + err.Error())
	}
	hash := fnv.New64a()
	_, _ = hash.Write(data)
	board.Checksum = hash.Sum64()
	return board
}

// warmUpRounding rounds the time for which an upstream is still slow, so that the message does not change with every reading.
const warmUpRounding = 500 * time.Millisecond

// Decode returns the upstreams in the message of another VM; it omits invalid entries.
func Decode(board *peer.Board) []Upstream {
	upstreams := make([]Upstream, 0, len(board.GetUpstreams()))
	for _, entry := range board.GetUpstreams() {
		address, err := netip.ParseAddrPort(entry.GetAddress())
		if err != nil || entry.GetId() == "" {
			continue
		}
		u := Upstream{
			ID: entry.GetId(), Service: entry.GetService(), Address: address, Centre: entry.GetCentre(), Slots: int(entry.GetSlots()),
			Leaving: entry.GetLeaving(), WarmUp: time.Duration(entry.GetCold()) * time.Millisecond, Loading: entry.GetLoading(), Software: entry.GetSoftware(),
		}
		if entry.GetBorn() > 0 {
			u.StartedAt = time.UnixMilli(entry.GetBorn())
		}
		for _, m := range entry.GetModels() {
			u.Models = append(u.Models, Model{Name: m.GetName(), Weights: m.GetWeights()})
		}
		upstreams = append(upstreams, u)
	}
	slices.SortFunc(upstreams, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return upstreams
}
