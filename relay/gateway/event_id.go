package gateway

import (
	"net/url"
	"strconv"
	"strings"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/stream"
)

// maxEventIDBytes limits the length of a Last-Event-ID.
const maxEventIDBytes = 4096

// eventID is the ID of an event as its caller sends it back: REQUEST:WEIGHTS:SOFTWARE:NUMBER with WEIGHTS and SOFTWARE escaped as in a
// query, or REQUEST:WEIGHTS:NUMBER with neither.
type eventID struct {
	weights string
	// software is valid if hasSoftware is set.
	software    string
	hasSoftware bool
	number      uint64
}

// appendEventIDPrefix appends an event ID but for its number. It has the short form, which earlier releases write and read, if no upstream
// of the stream's version has a known software version, so that the fleet can be upgraded while streams go on.
func appendEventIDPrefix(to []byte, request string, version stream.Version, c *catalogue.Catalogue) []byte {
	to = append(append(to, request...), ':')
	if version.Software == "" && !strings.ContainsAny(version.Weights, ":\r\n") && !softwareKnown(c, version) {
		return append(append(to, version.Weights...), ':')
	}
	to = append(append(to, url.QueryEscape(version.Weights)...), ':')
	return append(append(to, url.QueryEscape(version.Software)...), ':')
}

// softwareKnown reports whether the configuration has a software version of an upstream of this model, adapter and weights.
func softwareKnown(c *catalogue.Catalogue, version stream.Version) bool {
	for _, u := range c.Upstreams {
		if u.Kind == catalogue.Engine && u.Software != "" && u.Model == version.Model && u.Adapter == version.Adapter && u.Weights == version.Weights {
			return true
		}
	}
	return false
}

// parseEventID returns the parts of an event ID, or a refusal. An escaped part must be as appendEventIDPrefix writes it, so that no two IDs
// stand for one event.
func parseEventID(text string) (eventID, *outcome.Refusal) {
	malformed := outcome.Refuse(outcome.BadRequest, "the event ID is malformed; send the unchanged ID of the last received event").WithField("Last-Event-ID")
	if len(text) > maxEventIDBytes {
		return eventID{}, malformed
	}
	parts := strings.Split(text, ":")
	var id eventID
	switch len(parts) {
	case 3:
		id.weights = parts[1]
	case 4:
		var weightsOK, softwareOK bool
		id.weights, weightsOK = unescape(parts[1])
		id.software, softwareOK = unescape(parts[2])
		id.hasSoftware = true
		if !weightsOK || !softwareOK || !catalogue.ValidSoftware(id.software) {
			return eventID{}, malformed
		}
	}
	number, err := strconv.ParseUint(parts[len(parts)-1], 10, 32)
	if err != nil || id.weights == "" {
		return eventID{}, malformed
	}
	id.number = number
	return id, nil
}

func unescape(text string) (string, bool) {
	plain, err := url.QueryUnescape(text)
	return plain, err == nil && url.QueryEscape(plain) == text
}
