package prompt

import (
	"github.com/tidwall/gjson"

	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
)

// Limits of a request body's fields.
const (
	MaxBodyBytes        = 8 << 20
	MaxMessages         = 4096
	maxAnswerTokens     = 1 << 20
	defaultAnswerTokens = 256
)

// Kind is the endpoint to which a request was sent.
type Kind uint8

// The text endpoints.
const (
	Chat Kind = iota
	Completion
)

// Request holds the fields of a caller's body that the relay uses.
type Request struct {
	Kind   Kind
	Model  string
	Stream bool
	// IncludeUsage is set if the caller asked for a usage event at the end of the stream.
	IncludeUsage bool
	// Levels are the nested prefixes of the prompt, shortest first.
	Levels []Level
	// SharedParts are the hashes of the messages but the last, which belongs to the request alone.
	SharedParts []uint64
	// PromptTokens and AnswerTokens are estimates; the caller's token limit takes the place of the default for AnswerTokens.
	PromptTokens int
	AnswerTokens int
}

// fields are the values that the relay uses, found in one pass: each look-up by name would scan the long texts again.
type fields struct {
	model, stream, streamOptions, n, tokenLimit, completionLimit, messages, prompt gjson.Result
}

func readFields(body gjson.Result) fields {
	var f fields
	targets := map[string]*gjson.Result{
		"model": &f.model, "stream": &f.stream, "stream_options": &f.streamOptions, "n": &f.n, "max_tokens": &f.tokenLimit,
		"max_completion_tokens": &f.completionLimit, "messages": &f.messages, "prompt": &f.prompt,
	}
	body.ForEach(func(key, value gjson.Result) bool {
		if target, ok := targets[key.Str]; ok {
			*target = value
		}
		return true
	})
	return f
}

// Parse parses and validates a body; the error is an outcome.Refusal that names the field. Each text is read once and is copied
// only if it has to be unescaped.
func Parse(kind Kind, raw []byte) (Request, error) {
	if !gjson.ValidBytes(raw) {
		return Request{}, outcome.Refuse(outcome.BadRequest, "send a JSON object as the OpenAI API describes").WithField("body")
	}
	body := gjson.ParseBytes(raw)
	if !body.IsObject() {
		return Request{}, outcome.Refuse(outcome.BadRequest, "send a JSON object as the OpenAI API describes").WithField("body")
	}
	request := Request{Kind: kind, AnswerTokens: defaultAnswerTokens}
	f := readFields(body)
	if err := request.readSettings(f); err != nil {
		return Request{}, err
	}
	scan := newScanner()
	var err error
	if kind == Chat {
		err = scanMessages(scan, f.messages)
	} else {
		err = scanPrompt(scan, f.prompt)
	}
	if err != nil {
		return Request{}, err
	}
	request.Levels, request.SharedParts = scan.levels, scan.parts[:max(0, len(scan.parts)-1)]
	request.PromptTokens = max(1, scan.bytes/bytesPerToken)
	return request, nil
}

func (r *Request) readSettings(f fields) error {
	if f.model.Type != gjson.String || f.model.Str == "" {
		return outcome.Refuse(outcome.BadRequest, "name an assistant; /v1/models lists them").WithField("model")
	}
	r.Model = f.model.Str
	if err := readBool("stream", f.stream, &r.Stream); err != nil {
		return err
	}
	if err := readBool("stream_options.include_usage", f.streamOptions.Get("include_usage"), &r.IncludeUsage); err != nil {
		return err
	}
	if f.n.Exists() && f.n.Type != gjson.Null && f.n.Num != 1 {
		return outcome.Refuse(outcome.BadRequest, "ask for one answer per request").WithField("n")
	}
	if err := r.readTokenLimit("max_tokens", f.tokenLimit); err != nil {
		return err
	}
	return r.readTokenLimit("max_completion_tokens", f.completionLimit)
}

func (r *Request) readTokenLimit(field string, value gjson.Result) error {
	if !value.Exists() || value.Type == gjson.Null {
		return nil
	}
	tokens := int(value.Int())
	if value.Type != gjson.Number || float64(tokens) != value.Num || tokens < 1 || tokens > maxAnswerTokens {
		return outcome.Refuse(outcome.BadRequest, "use a number from 1 to %d", maxAnswerTokens).WithField(field)
	}
	r.AnswerTokens = tokens
	return nil
}

func readBool(field string, value gjson.Result, into *bool) error {
	if value.Exists() && !value.IsBool() && value.Type != gjson.Null {
		return outcome.Refuse(outcome.BadRequest, "use true or false").WithField(field)
	}
	*into = value.Bool()
	return nil
}

func scanMessages(scan *scanner, messages gjson.Result) error {
	count := 0
	var err error
	if messages.IsArray() {
		messages.ForEach(func(_, m gjson.Result) bool {
			count++
			err = scanMessage(scan, m)
			return err == nil && count <= MaxMessages
		})
	}
	if err == nil && (count == 0 || count > MaxMessages) {
		err = outcome.Refuse(outcome.BadRequest, "send 1 to %d messages", MaxMessages).WithField("messages")
	}
	return err
}

func scanMessage(scan *scanner, m gjson.Result) error {
	var role, content gjson.Result
	m.ForEach(func(key, value gjson.Result) bool {
		switch key.Str {
		case "role":
			role = value
		case "content":
			content = value
		}
		return true
	})
	if role.Type != gjson.String || role.Str == "" {
		return outcome.Refuse(outcome.BadRequest, "give each message a role").WithField("messages.role")
	}
	scan.write(role.Str)
	if err := scanContent(scan, content); err != nil {
		return err
	}
	scan.recordLevel()
	scan.endPart()
	return nil
}

// scanContent hashes a message's text. It refuses parts of other types, since the engines accept text only.
func scanContent(scan *scanner, content gjson.Result) error {
	switch {
	case content.Type == gjson.Null:
		return nil
	case content.Type == gjson.String:
		scan.write(content.Str)
		return nil
	case !content.IsArray():
		return outcome.Refuse(outcome.BadRequest, "send content as a string or a list of text parts").WithField("messages.content")
	}
	var err error
	content.ForEach(func(_, part gjson.Result) bool {
		text := part.Get("text")
		if part.Get("type").Str != "text" || text.Type != gjson.String {
			err = outcome.Refuse(outcome.BadRequest, "send parts of type text only").WithField("messages.content.type")
			return false
		}
		scan.write(text.Str)
		return true
	})
	return err
}

func scanPrompt(scan *scanner, text gjson.Result) error {
	if text.Type != gjson.String || text.Str == "" {
		return outcome.Refuse(outcome.BadRequest, "send the prompt as one non-empty string").WithField("prompt")
	}
	scan.write(text.Str)
	scan.recordLevel()
	return nil
}
