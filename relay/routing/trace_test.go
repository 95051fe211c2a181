package routing_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/prompt"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
)

// segment is a part of a prompt; segments with equal text numbers have equal texts.
type segment struct {
	text   uint64
	tokens int
}

// cutLevels cuts a prompt into levels as package prompt does: at growing lengths and at the end of each message.
func cutLevels(segments []segment) (levels []prompt.Level, total int) {
	cut, hash := 256, uint64(14695981039346656037)
	add := func(tokens int, hash uint64) {
		if tokens >= 256 && len(levels) < 24 && (len(levels) == 0 || levels[len(levels)-1].Tokens < tokens) {
			levels = append(levels, prompt.Level{Hash: hash, Tokens: tokens})
		}
	}
	for _, s := range segments {
		for total+s.tokens > cut {
			add(cut, (hash^s.text)*1099511628211+uint64(cut))
			cut += max(256, cut/2)
		}
		total += s.tokens
		hash = (hash ^ s.text) * 1099511628211
		add(total, hash)
	}
	return levels, total
}

// rateFactor multiplies the arrival rates, which were set for engines with a fifth of the prefill rate of these. With a factor of
// 2 the best baseline serves 0.93 of the baths' peak, so that no policy could serve 1.3 times as many.
const rateFactor = 3

// accountShares are the traffic shares of the 8 accounts, of which a few are large.
var accountShares = []float64{0.3, 0.2, 0.15, 0.1, 0.08, 0.07, 0.05, 0.05}

func pickWeighted(random *rand.Rand, weights []float64) int {
	at := random.Float64()
	for i, w := range weights {
		if at -= w; at < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// zipf returns normalised Zipf weights of n items with the given exponent.
func zipf(n int, exponent float64) []float64 {
	weights, sum := make([]float64, n), 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -exponent)
		sum += weights[i]
	}
	for i := range weights {
		weights[i] /= sum
	}
	return weights
}

func newCall(random *rand.Rand, id int, at time.Duration, account int, answerTokens int, segments ...segment) *call {
	levels, total := cutLevels(segments)
	name := fmt.Sprintf("account%d", account)
	return &call{
		request: routing.Request{
			ID: fmt.Sprint(id), Account: name, Assistant: "assistant", Model: "m", Levels: levels, PromptTokens: total,
			AnswerTokens: max(1, int(float64(answerTokens)*(0.7+0.6*random.Float64()))), Idempotent: true,
		},
		answerTokens: answerTokens, arrived: at, segments: segments,
	}
}

// declareParts declares the segments as parts, as callers of the users' VMs do, instead of levels cut from the prompt's text.
func (c *call) declareParts() {
	c.request.Levels, c.request.Parts = nil, nil
	total, hash := 0, uint64(1)
	for _, s := range c.segments {
		total += s.tokens
		hash = (hash ^ s.text) * 1099511628211
		c.request.Levels = append(c.request.Levels, prompt.Level{Hash: hash, Tokens: total})
		c.request.Parts = append(c.request.Parts, routing.PartHash(s.name()))
	}
}

func (s segment) name() string { return fmt.Sprint(s.text) }

// arrivals calls add with Poisson arrival times at a rate that changes over time.
func arrivals(random *rand.Rand, until time.Duration, rate func(time.Duration) float64, add func(at time.Duration)) {
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / rate(at) * float64(time.Second))
		if at >= until {
			return
		}
		add(at)
	}
}

// cooperative returns the co-operative's trace: a prompt consists of the account's house rules, one of its recipe books and a
// batch sheet; a quarter of the calls add a short note to the previous call's prompt.
func cooperative(seed uint64) []*call {
	random := rand.New(rand.NewPCG(seed, 3))
	books := []int{24, 16, 12, 8, 8, 6, 4, 4}
	length := map[uint64]int{}
	rate := func(at time.Duration) float64 {
		if at/(10*time.Second)%3 == 1 && at > 30*time.Second {
			return 32 * rateFactor
		}
		return 16 * rateFactor
	}
	var calls []*call
	var last []segment
	lastAccount, sheet := 0, uint64(1<<32)
	arrivals(random, 120*time.Second, rate, func(at time.Duration) {
		account := pickWeighted(random, accountShares)
		// The hot books change every 40 seconds.
		rank := pickWeighted(random, zipf(books[account], 0.9))
		book := uint64(1000*(account+1) + (rank+int(at/(40*time.Second))*3)%books[account])
		if length[book] == 0 {
			length[book] = 4000 + random.IntN(6000)
		}
		segments := []segment{{uint64(account + 1), 500}, {book, length[book]}, {sheet, 200 + random.IntN(300)}}
		answer := 20 + random.IntN(60)
		if last != nil && random.IntN(4) == 0 {
			account, segments = lastAccount, append(last[:3:3], segment{sheet, 60})
		}
		sheet++
		if random.IntN(100) == 0 {
			answer = 800
		}
		last, lastAccount = segments, account
		calls = append(calls, newCall(random, len(calls), at, account, answer, segments...))
	})
	return calls
}

// peakAt reports whether the demand of the baths' trace is at its peak, ten times the usual rate.
func peakAt(at time.Duration) bool {
	return at%(30*time.Second) >= 20*time.Second && at%(30*time.Second) < 26*time.Second
}

// baths returns the baths' trace: questions about catalogue notes with mostly one-word answers under a deadline, and a few jobs
// that are many times longer.
func baths(seed uint64) []*call {
	random := rand.New(rand.NewPCG(seed, 4))
	notes := zipf(12, 0.8)
	rate := func(at time.Duration) float64 {
		if peakAt(at) {
			return 300 * rateFactor
		}
		return 30 * rateFactor
	}
	var calls []*call
	arrivals(random, 120*time.Second, rate, func(at time.Duration) {
		account := pickWeighted(random, accountShares)
		note := uint64(1000*(account+1) + (pickWeighted(random, notes)+int(at/(30*time.Second))*3)%len(notes))
		question := segment{random.Uint64() | 1<<40, 40 + random.IntN(80)}
		answer := 1 + random.IntN(3)
		if random.IntN(5) == 0 {
			answer = 20 + random.IntN(20)
		}
		c := newCall(random, len(calls), at, account, answer, segment{uint64(account + 1), 400}, segment{note, 2000 + int(note*37%4000)}, question)
		c.request.Deadline = at + 1500*time.Millisecond
		c.peak = peakAt(at)
		calls = append(calls, c)
	})
	arrivals(random, 120*time.Second, func(time.Duration) float64 { return 0.4 * rateFactor }, func(at time.Duration) {
		account := pickWeighted(random, accountShares)
		c := newCall(random, len(calls), at, account, 1200, segment{uint64(account + 1), 400}, segment{random.Uint64() | 1<<41, 24000})
		c.long = true
		calls = append(calls, c)
	})
	slices.SortStableFunc(calls, func(a, b *call) int { return cmp.Compare(a.arrived, b.arrived) })
	return calls
}
