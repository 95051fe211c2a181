package trace

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/samber/oops"
)

// Settings configure a generator.
type Settings struct {
	// Generator is coop or baths.
	Generator string
	Seed      uint64
	Duration  time.Duration
	// Rate is the base rate in requests per second; it is multiplied at load peaks.
	Rate float64
	// Shift is the interval at which the set of hot prefixes changes.
	Shift time.Duration
	// Bookings is the share of calls to plain services.
	Bookings float64
	// Long is the share of requests of kind Long.
	Long float64
	// Deadline limits the time to first token of interactive requests; 0 means none.
	Deadline time.Duration
}

// DefaultCoop returns the settings of the co-operative's trace.
func DefaultCoop() Settings {
	return Settings{Generator: "coop", Seed: 1, Duration: 2 * time.Minute, Rate: 8, Shift: 30 * time.Second, Bookings: 0.03, Long: 0, Deadline: 0}
}

// DefaultBaths returns the settings of the baths' trace.
func DefaultBaths() Settings {
	return Settings{Generator: "baths", Seed: 1, Duration: 2 * time.Minute, Rate: 6, Shift: 30 * time.Second, Bookings: 0.05, Long: 0.01, Deadline: 2 * time.Second}
}

// accountCount is the number of client accounts of each user; a few of them send most requests.
const accountCount = 8

// generator draws random entries; the same seed gives the same trace.
type generator struct {
	Settings
	random  *rand.Rand
	account *rand.Zipf
	topic   *rand.Zipf
	sheet   *rand.Zipf
	topics  int
}

// Generate returns a trace.
func Generate(s Settings) ([]Entry, error) {
	if s.Rate <= 0 || s.Duration <= 0 || s.Shift <= 0 || s.Bookings < 0 || s.Long < 0 || s.Bookings+s.Long > 1 {
		return nil, oops.Code("trace").Errorf("use a rate, duration and shift above 0, and shares from 0 to 1")
	}
	g := &generator{Settings: s, random: rand.New(rand.NewPCG(s.Seed, 1))}
	g.account = rand.NewZipf(g.random, 1.4, 1.5, accountCount-1)
	draw, rate := g.coop, g.checkPeakRate
	switch s.Generator {
	case "coop":
		g.topics = 16
		g.topic, g.sheet = rand.NewZipf(g.random, 1.2, 2, uint64(g.topics-1)), rand.NewZipf(g.random, 1.3, 3, 199)
	case "baths":
		draw, rate = g.baths, g.burstRate
		g.topics = 48
		g.topic = rand.NewZipf(g.random, 1.2, 2, uint64(g.topics-1))
	default:
		return nil, oops.Code("trace").Errorf("generator %q is unknown; use coop or baths", s.Generator)
	}
	var entries []Entry
	const maxFactor = 10
	at := time.Duration(0)
	for {
		// Thinning: candidates arrive at the maximum rate, and each is kept with probability current rate / maximum rate.
		at += time.Duration(g.random.ExpFloat64() / (s.Rate * maxFactor) * float64(time.Second))
		if at >= s.Duration {
			return entries, nil
		}
		factor, peak := rate(at)
		if g.random.Float64()*maxFactor >= factor {
			continue
		}
		entry := Entry{Number: len(entries), Arrival: at, Account: fmt.Sprintf("%s-%d", s.Generator, g.account.Uint64()+1), Peak: peak}
		draw(&entry)
		entries = append(entries, entry)
	}
}

// checkPeakRate triples the rate in the first tenth of each minute, when shift leads check their batches.
func (g *generator) checkPeakRate(at time.Duration) (float64, bool) {
	if at%time.Minute < 6*time.Second {
		return 3, true
	}
	return 1, false
}

// Bursts of the baths: in each period the rate rises to ten times the base rate, stays there for the peak and falls again.
const (
	burstPeriod = 40 * time.Second
	burstStart  = 15 * time.Second
	burstRise   = 2 * time.Second
	burstPeak   = 5 * time.Second
	burstFactor = 10
)

func (g *generator) burstRate(at time.Duration) (float64, bool) {
	offset := at%burstPeriod - burstStart
	slope := func(share time.Duration) float64 {
		return 1 + (burstFactor-1)*float64(share)/float64(burstRise)
	}
	switch {
	case offset < 0 || offset >= 2*burstRise+burstPeak:
		return 1, false
	case offset < burstRise:
		return slope(offset), false
	case offset < burstRise+burstPeak:
		return burstFactor, true
	default:
		return slope(2*burstRise + burstPeak - offset), false
	}
}

// hotTopic draws a topic; the most frequent topics change at each interval Settings.Shift.
func (g *generator) hotTopic(at time.Duration) uint64 {
	const stride = 5
	return (g.topic.Uint64() + uint64(at/g.Shift)*stride) % uint64(g.topics)
}

// uniform draws an integer from low to high, both included.
func (g *generator) uniform(low, high int) int { return low + g.random.IntN(high-low+1) }

// addLevel adds a prefix level below the existing ones; its length is a function of its hash.
func (e *Entry) addLevel(id uint64, low, high int) {
	parent, tokens := mix(uint64(len(e.Account)), uint64(e.Account[len(e.Account)-1])), 0
	if n := len(e.Levels); n > 0 {
		parent, tokens = e.Levels[n-1].Hash, e.Levels[n-1].Tokens
	}
	hash := mix(parent, id+1)
	e.Levels = append(e.Levels, Level{Hash: hash, Tokens: tokens + low + int(hash%uint64(high-low+1))})
	e.Prompt = e.Levels[len(e.Levels)-1].Tokens
}

// coop draws a batch check, a clerk's note, a long request or a call to the booking service.
func (g *generator) coop(e *Entry) {
	if g.drawServiceCall(e) {
		return
	}
	e.Idempotent, e.Deadline = true, g.Deadline
	if g.drawLong(e) {
		return
	}
	e.addLevel(0, 1500, 2500)
	if g.random.Float64() < 0.65 {
		e.Kind, e.Assistant = Batch, "batch"
		e.addLevel(g.hotTopic(e.Arrival), 3000, 6000)
		e.addLevel(g.sheet.Uint64(), 300, 700)
		e.Prompt += g.uniform(30, 120)
		e.Answer = g.uniform(30, 120)
		return
	}
	e.Kind, e.Assistant = Note, "notes"
	e.Prompt += g.uniform(100, 400)
	e.Answer = g.uniform(20, 60)
}

// baths draws a Word, Reply or Long request or a call to the booking service.
func (g *generator) baths(e *Entry) {
	if g.drawServiceCall(e) {
		return
	}
	e.Idempotent, e.Deadline = true, g.Deadline
	if g.drawLong(e) {
		return
	}
	e.Assistant = "kiosk"
	e.addLevel(0, 800, 1500)
	e.addLevel(g.hotTopic(e.Arrival), 2000, 6000)
	e.Prompt += g.uniform(20, 60)
	e.Kind, e.Answer = Word, g.uniform(1, 3)
	if g.random.Float64() < 0.3 {
		e.Kind, e.Answer = Reply, g.uniform(15, 40)
	}
}

func (g *generator) drawLong(e *Entry) bool {
	if g.random.Float64() >= g.Long {
		return false
	}
	e.Kind, e.Assistant, e.Deadline = Long, "catalogue", 0
	if g.Generator == "coop" {
		e.Assistant = "notes"
	}
	e.addLevel(0, 800, 1500)
	e.Prompt += g.uniform(25_000, 50_000)
	e.Answer = g.uniform(600, 1500)
	return true
}

func (g *generator) drawServiceCall(e *Entry) bool {
	if g.random.Float64() >= g.Bookings {
		return false
	}
	e.Kind = Booking
	if g.Generator == "coop" && g.random.Float64() < 0.5 {
		e.Kind, e.Idempotent = Lookup, true
	}
	return true
}
