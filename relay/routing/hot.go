package routing

import (
	"math"
	"sort"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/cache"
	"github.com/chicoryrelay/chicoryrelay/relay/prompt"
)

// Dimensions of the sketch: 32 KB, with an error below a thousandth of the whole demand.
const (
	sketchRows     = 4
	sketchColumns  = 2048
	maxHotPrefixes = 64
	// rescaleHalfLives is the age of the weights' origin, in half-lives, after which all counters are scaled back.
	rescaleHalfLives = 20
)

// demand finds hot prefixes with a count-min sketch whose counts halve every half-life, and adds the rates reported by peers.
type demand struct {
	halfLife time.Duration
	// origin is the time at which a use has weight 1.
	origin   time.Duration
	counters [sketchRows][sketchColumns]float32
	// hottestPrefixes are those that digests report, by prefix.
	hottestPrefixes map[uint64]*hotPrefix
	peers           map[string]*peerDemand
}

type hotPrefix struct {
	prefix uint64
	scope  cache.Scope
	level  prompt.Level
}

type peerDemand struct {
	received time.Duration
	rates    map[uint64]float64
}

func newDemand(halfLife time.Duration) *demand {
	return &demand{halfLife: halfLife, hottestPrefixes: map[uint64]*hotPrefix{}, peers: map[string]*peerDemand{}}
}

// weight returns the weight of a use at the given time. It grows with time, so that the counters need not decay.
func (d *demand) weight(now time.Duration) float64 {
	return math.Exp2(float64(now-d.origin) / float64(d.halfLife))
}

// add counts a use of a prefix and returns its decayed count.
func (d *demand) add(now time.Duration, prefix uint64) float64 {
	if now-d.origin > rescaleHalfLives*d.halfLife {
		d.rescale(now)
	}
	w := float32(d.weight(now))
	least := float32(math.MaxFloat32)
	for row := range d.counters {
		counter := &d.counters[row][column(prefix, row)]
		*counter += w
		least = min(least, *counter)
	}
	return float64(least / w)
}

func (d *demand) rescale(now time.Duration) {
	factor := float32(1 / d.weight(now))
	for row := range d.counters {
		for i := range d.counters[row] {
			d.counters[row][i] *= factor
		}
	}
	d.origin = now
}

func column(prefix uint64, row int) uint64 {
	return mix(prefix, uint64(row)+1) % sketchColumns
}

// mix combines two numbers into a hash with the finaliser of SplitMix64.
func mix(a, b uint64) uint64 {
	z := a ^ b*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// count returns the decayed number of uses at this VM.
func (d *demand) count(now time.Duration, prefix uint64) float64 {
	least := float32(math.MaxFloat32)
	for row := range d.counters {
		least = min(least, d.counters[row][column(prefix, row)])
	}
	return float64(least) / d.weight(now)
}

// rate returns this VM's uses per second: a steady rate r counts up to r times half-life over ln 2.
func (d *demand) rate(now time.Duration, prefix uint64) float64 {
	return d.count(now, prefix) * math.Ln2 / d.halfLife.Seconds()
}

// totalRate returns the uses per second at this VM and its peers, which comes to about the same number at every VM.
func (d *demand) totalRate(now time.Duration, prefix uint64) float64 {
	sum := d.rate(now, prefix)
	if len(d.peers) == 0 {
		return sum
	}
	for _, vm := range sortedNames(d.peers) {
		if peer := d.peers[vm]; now-peer.received <= d.halfLife {
			sum += peer.rates[prefix]
		}
	}
	return sum
}

// peerRate estimates the peers' uses per second from this VM's own, since the load balancer in front of the VMs
// spreads requests evenly.
func (d *demand) peerRate(now time.Duration, prefix uint64, peers int) float64 {
	own := d.count(now, prefix)
	if peers == 0 || own < 0.5 {
		return 0
	}
	return own * math.Ln2 / d.halfLife.Seconds() * float64(peers)
}

func (d *demand) receive(now time.Duration, vm string, list []HotPrefix) {
	rates := make(map[uint64]float64, len(list))
	for _, h := range list {
		rates[h.Prefix] = h.Rate
	}
	d.peers[vm] = &peerDemand{received: now, rates: rates}
}

// track adds a prefix to the hottest ones, which digests report, if its count is high enough.
func (d *demand) track(now time.Duration, prefix uint64, count float64, scope cache.Scope, level prompt.Level) {
	if h, ok := d.hottestPrefixes[prefix]; ok {
		h.level = level
		return
	}
	if len(d.hottestPrefixes) >= maxHotPrefixes {
		coldest, least := uint64(0), math.MaxFloat64
		for candidate := range d.hottestPrefixes {
			if n := d.count(now, candidate); n < least || n == least && candidate < coldest {
				coldest, least = candidate, n
			}
		}
		if least >= count {
			return
		}
		delete(d.hottestPrefixes, coldest)
	}
	d.hottestPrefixes[prefix] = &hotPrefix{prefix: prefix, scope: scope, level: level}
}

// hottest returns the tracked prefixes, hottest first.
func (d *demand) hottest(now time.Duration) []*hotPrefix {
	list := make([]*hotPrefix, 0, len(d.hottestPrefixes))
	for _, h := range d.hottestPrefixes {
		list = append(list, h)
	}
	counts := map[uint64]float64{}
	for _, h := range list {
		counts[h.prefix] = d.count(now, h.prefix)
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := counts[list[i].prefix], counts[list[j].prefix]
		return a > b || a == b && list[i].prefix < list[j].prefix
	})
	return list
}
