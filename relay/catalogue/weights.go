package catalogue

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/chicoryrelay/chicoryrelay/coord/configuration"
)

// Weights is the newest weights version of a model, with the times at which it and earlier ones were named.
type Weights struct {
	Version uint64
	// Namings are the latest namings, oldest first; empty if the object was stored by a release that kept none.
	Namings []Naming
}

// Naming records that an operator named a weights version; the time is that of the replicated log.
type Naming struct {
	Version uint64    `json:"version"`
	At      time.Time `json:"at"`
}

// maxNamings bounds the namings kept for a model: earlier versions have been replaced for long.
const maxNamings = 16

// DecodeWeights decodes the value of an object of KindWeights. Namings that can't be decoded are left out, as by releases that know
// none.
func DecodeWeights(value []byte) Weights {
	number, content := configuration.DecodeNumbered(value)
	w := Weights{Version: number}
	if err := json.Unmarshal(content, &w.Namings); err != nil {
		w.Namings = nil
	}
	return w
}

// WithNaming returns the weights after a newer version was named.
func (w Weights) WithNaming(version uint64, at time.Time) Weights {
	namings := append(slices.Clone(w.Namings), Naming{Version: version, At: at.UTC().Truncate(time.Millisecond)})
	return Weights{Version: version, Namings: namings[max(0, len(namings)-maxNamings):]}
}

// Encode encodes the value of the object.
func (w Weights) Encode() []byte {
	content, err := json.Marshal(w.Namings)
	if err != nil {
		panic("catalogue: " + err.Error()) // The type has no value that can't be encoded.
	}
	return configuration.EncodeNumbered(w.Version, content)
}
