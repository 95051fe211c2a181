package trace

import (
	"math"
	"math/rand/v2"
	"time"
)

// Sheet describes the language-model load given in one user's data sheet.
type Sheet struct {
	// Checks and Notes are mean rates per second, modulated by a sine wave with the period Period and relative amplitude Swing.
	Checks float64
	Notes  float64
	Period time.Duration
	Swing  float64
	// Answer is the mean length of a check's answer in tokens, Note that of a note's answer.
	Answer float64
	Note   float64
	// Books is the number of different recipe books, the second prefix level of checks.
	Books int
}

// CoopSheet returns the load of the co-operative's data sheet.
func CoopSheet() Sheet {
	return Sheet{Checks: 18.7, Notes: 29.1, Period: 13 * time.Second, Swing: 0.55, Answer: 13, Note: 73, Books: 80}
}

// BathsSheet returns the load of the baths' data sheet.
func BathsSheet() Sheet {
	return Sheet{Checks: 24.9, Notes: 38.6, Period: 17 * time.Second, Swing: 0.55, Answer: 13, Note: 73, Books: 240}
}

// Numbers of different prompt parts and their lengths in tokens (means, relative spreads and maxima), as on both data sheets.
const (
	families, familyTokens, familySpread = 4, 2520, 0.4
	bookTokens, bookSpread               = 3780, 0.7
	checkTokens, maxCheckTokens          = 2890, 18_300
	styles, styleTokens, styleSpread     = 40, 119, 0.4
	topics, topicTokens, topicSpread     = 280, 79, 0.7
	noteTokens, maxNoteTokens            = 628, 3310
	maxCheckAnswer, maxNoteAnswer        = 52, 219
	zipfExponent                         = 0.3
)

// Generate returns a trace of the sheet's checks and notes, all of one client account.
func (s Sheet) Generate(seed uint64, duration time.Duration) []Entry {
	random := rand.New(rand.NewPCG(seed, 5))
	book, topic := zipfWeights(s.Books), zipfWeights(topics)
	var entries []Entry
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / ((s.Checks + s.Notes) * (1 + s.Swing)) * float64(time.Second))
		if at >= duration {
			return entries
		}
		wave := 1 + s.Swing*math.Sin(2*math.Pi*float64(at)/float64(s.Period))
		if random.Float64()*(1+s.Swing) >= wave {
			continue
		}
		e := Entry{Number: len(entries), Arrival: at, Account: "sheet", Idempotent: true}
		if random.Float64()*(s.Checks+s.Notes) < s.Checks {
			e.Kind, e.Assistant = Batch, "checks"
			n := drawIndex(random, book)
			e.addPart(uint64(n%families), familyTokens, familySpread)
			e.addPart(1000+uint64(n), bookTokens, bookSpread)
			e.Prompt += exponential(random, checkTokens, maxCheckTokens)
			e.Answer = exponential(random, s.Answer, maxCheckAnswer)
		} else {
			e.Kind, e.Assistant = Note, "notes"
			n := drawIndex(random, topic)
			e.addPart(2000+uint64(n%styles), styleTokens, styleSpread)
			e.addPart(3000+uint64(n), topicTokens, topicSpread)
			e.Prompt += exponential(random, noteTokens, maxNoteTokens)
			e.Answer = exponential(random, s.Note, maxNoteAnswer)
		}
		entries = append(entries, e)
	}
}

// addPart adds a shared prompt part whose length is a function of its id.
func (e *Entry) addPart(id uint64, mean, spread float64) {
	parent := uint64(0)
	if n := len(e.Levels); n > 0 {
		parent = e.Levels[n-1].Hash
	}
	hash := mix(parent, id+1)
	length := mean * (1 + spread*(2*float64(mix(id, 7)%1000)/999-1))
	e.Prompt += int(length)
	e.Levels = append(e.Levels, Level{Hash: hash, Tokens: e.Prompt})
}

func zipfWeights(n int) []float64 {
	list, sum := make([]float64, n), 0.0
	for i := range list {
		list[i] = math.Pow(float64(i+1), -zipfExponent)
		sum += list[i]
	}
	for i := range list {
		list[i] /= sum
	}
	return list
}

func drawIndex(random *rand.Rand, weights []float64) int {
	at := random.Float64()
	for i, w := range weights {
		if at -= w; at < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// exponential draws an exponentially distributed length from 1 to the limit, with the given mean before the limit applies.
func exponential(random *rand.Rand, mean float64, limit int) int {
	return min(limit, 1+int(random.ExpFloat64()*(mean-1)))
}
