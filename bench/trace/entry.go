package trace

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/samber/oops"
)

// Kind is the kind of work of an entry.
type Kind string

// Kinds of work.
const (
	// Batch is a check of a batch sheet against a recipe book, Note a clerk's short note.
	Batch Kind = "batch"
	Note  Kind = "note"
	// Word is a request with an answer of one to three tokens, Reply one with a short answer.
	Word  Kind = "word"
	Reply Kind = "reply"
	// Long is a request many times longer than the others.
	Long Kind = "long"
	// Booking is a non-idempotent call to a plain service, Lookup an idempotent one.
	Booking Kind = "booking"
	Lookup  Kind = "lookup"
)

// Text reports whether the entry is a language-model request.
func (k Kind) Text() bool { return k != Booking && k != Lookup }

// Short reports whether the entry is a language-model request other than Long.
func (k Kind) Short() bool { return k.Text() && k != Long }

// Level is one prefix level of a prompt; Tokens counts from the start of the prompt.
type Level struct {
	Hash   uint64 `json:"hash"`
	Tokens int    `json:"tokens"`
}

// Entry is one request of a trace; JSON has its durations in nanoseconds.
type Entry struct {
	Number    int           `json:"number"`
	Arrival   time.Duration `json:"arrival"`
	Account   string        `json:"account"`
	Assistant string        `json:"assistant,omitempty"`
	Kind      Kind          `json:"kind"`
	// Levels are the shared prefixes, shortest first; the remaining prompt is not shared with other entries.
	Levels     []Level `json:"levels,omitempty"`
	Prompt     int     `json:"prompt,omitempty"`
	Answer     int     `json:"answer,omitempty"`
	Idempotent bool    `json:"idempotent"`
	// Deadline limits the time to first token; 0 means none.
	Deadline time.Duration `json:"deadline,omitempty"`
	// Peak is set if the entry arrives at a load peak.
	Peak bool `json:"peak,omitempty"`
}

// Write writes the entries as JSON lines.
func Write(w io.Writer, entries []Entry) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	for _, entry := range entries {
		if err := encoder.Encode(entry); err != nil {
			return oops.Code("trace").Wrap(err)
		}
	}
	return oops.Code("trace").Wrap(buffered.Flush())
}

// Read reads entries from JSON lines; an error contains the line number.
func Read(r io.Reader) ([]Entry, error) {
	var entries []Entry
	decoder := json.NewDecoder(bufio.NewReader(r))
	decoder.DisallowUnknownFields()
	for {
		var entry Entry
		err := decoder.Decode(&entry)
		if err == io.EOF {
			return entries, nil
		}
		if err != nil {
			return nil, oops.Code("trace").Errorf("line %d: write one entry per line as chicorybench trace does: %w", len(entries)+1, err)
		}
		if n := len(entries); n > 0 && entry.Arrival < entries[n-1].Arrival {
			return nil, oops.Code("trace").Errorf("line %d: sort entries by arrival", n+1)
		}
		entries = append(entries, entry)
	}
}

// Without returns the entries that are not of the given kind.
func Without(entries []Entry, kind Kind) []Entry {
	var rest []Entry
	for _, entry := range entries {
		if entry.Kind != kind {
			rest = append(rest, entry)
		}
	}
	return rest
}
