package prompt

import (
	"bytes"
	"encoding/json"

	"github.com/tidwall/gjson"
)

// Rewrite returns the engine's request for a body that Parse has accepted: it sets the model, requests streaming and asks for the
// usage event. The body is copied once.
func Rewrite(raw []byte, model string) []byte {
	raw = bytes.TrimSpace(raw)
	name, _ := json.Marshal(model)
	out := make([]byte, 0, len(raw)+len(name)+64)
	out = append(out, `{"model":`...)
	out = append(out, name...)
	out = append(out, `,"stream":true,"stream_options":{"include_usage":true}`...)
	gjson.ParseBytes(raw).ForEach(func(key, value gjson.Result) bool {
		switch key.Str {
		case "model", "stream", "stream_options":
		default:
			out = append(out, ',')
			out = append(out, key.Raw...)
			out = append(out, ':')
			out = append(out, value.Raw...)
		}
		return true
	})
	return append(out, '}')
}
