package answer

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/samber/oops"
)

// Write sends a value as a JSON response.
func Write(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The status is already sent, so a write error can no longer be reported to the client.
	_ = json.NewEncoder(w).Encode(value)
}

// Refuse sends an error response with its code in the format of the OpenAI API.
func Refuse(w http.ResponseWriter, status int, code, message string) {
	Write(w, status, map[string]any{"error": map[string]any{"message": message, "type": code, "code": code}})
}

// Read decodes a JSON request body of at most limit bytes. Unknown fields are errors, since a misspelt field would otherwise be
// ignored.
func Read(w http.ResponseWriter, r *http.Request, limit int64, target any) error {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return oops.Code("body").Errorf("body: send at most %d bytes: %w", limit, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return oops.Code("body").Errorf("body: send a JSON object with known fields: %w", err)
	}
	return nil
}
