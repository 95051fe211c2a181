package route_test

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/chicoryrelay/chicoryrelay/relay/route"
	"github.com/chicoryrelay/chicoryrelay/relay/syntax/syntaxtest"
)

// FuzzAccept guards against documents of the desired state that make the decoder panic, are refused without a place and a remedy, or are
// accepted as something else than they say.
func FuzzAccept(f *testing.F) {
	for _, odd := range syntaxtest.Cases(compact(document), "version", "7") {
		if len(odd.Text) < 1<<12 {
			f.Add([]byte(odd.Text))
		}
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		state, err := route.Own.Accept(text)
		var invalid *route.Invalid
		if err != nil && (!errors.As(err, &invalid) || invalid.Field == "" || invalid.Remedy == "") {
			t.Fatalf("incomplete error %#v", err)
		}
		if err != nil {
			return
		}
		var written map[string]json.RawMessage
		var number uint64
		var routes, accounts []json.RawMessage
		if err := json.Unmarshal(text, &written); err != nil {
			t.Fatalf("%q is accepted: %v", text, err)
		}
		for name, into := range map[string]any{"version": &number, "routes": &routes, "accounts": &accounts} {
			if value, ok := written[name]; ok && json.Unmarshal(value, into) != nil {
				t.Fatalf("%q is accepted with %s %s", text, name, value)
			}
		}
		if state.Number != number || len(state.Routes) != len(routes) || len(state.Accounts) != len(accounts) {
			t.Fatalf("%q is accepted as %d, %v, %v", text, state.Number, state.Routes, state.Accounts)
		}
	})
}
