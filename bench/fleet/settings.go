package fleet

import (
	"encoding/json"
	"path/filepath"
	"strings"

	"github.com/samber/oops"
)

// maxNeighbours is the largest number of VMs that a relay exchanges digests with.
const maxNeighbours = 12

// settings returns the settings of relay number i in the form of its settings file.
func (p *Plan) settings(i int) (map[string]any, error) {
	s := map[string]any{
		"name": vmName(i), "centre": p.centre(i), "region": p.region(i), "log": "info",
		"listeners": map[string]any{"callers": p.callerAddress(i), "operators": p.operatorAddress(i), "peers": p.peerAddress(i)},
		"control":   p.relayList(-1, func(j int) bool { return j < p.Voters }),
		// Ring order gives every relay equally many neighbours if there are more than maxNeighbours.
		"neighbours": p.relayList(i, func(j int) bool { return (j-i+p.Relays)%p.Relays <= maxNeighbours }),
	}
	if i < p.Voters {
		s["data"] = filepath.Join(p.Folder, vmName(i))
	}
	if p.Platform {
		s["platform"] = p.address(platformPort)
	}
	if p.Store {
		s["store"] = p.address(storePort)
	}
	if p.Policy != "" {
		s["routing"] = map[string]any{"policy": p.Policy}
	}
	for _, pair := range p.Set {
		if err := applySetting(s, pair); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// relayList lists the relays for which include is true, without relay number self.
func (p *Plan) relayList(self int, include func(int) bool) []map[string]any {
	list := []map[string]any{}
	for j := range p.Relays {
		if j != self && include(j) {
			list = append(list, map[string]any{"name": vmName(j), "address": p.peerAddress(j)})
		}
	}
	return list
}

// applySetting changes one value, given as path=value with dots in the path; a value that is not JSON is taken as a string.
func applySetting(settings map[string]any, pair string) error {
	path, text, ok := strings.Cut(pair, "=")
	if !ok {
		return oops.Code("plan").Errorf("set: give path=value, such as times.balancer=0s, not %q", pair)
	}
	var value any
	if json.Unmarshal([]byte(text), &value) != nil {
		value = text
	}
	keys := strings.Split(path, ".")
	for _, key := range keys[:len(keys)-1] {
		inner, ok := settings[key].(map[string]any)
		if !ok {
			inner = map[string]any{}
			settings[key] = inner
		}
		settings = inner
	}
	settings[keys[len(keys)-1]] = value
	return nil
}
