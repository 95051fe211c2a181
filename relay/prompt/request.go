package prompt

import (
	"github.com/tidwall/gjson"

	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
)

// Limits of a request body's fields.
const (
	MaxBody     = 8 << 20
	MaxMessages = 4096
	maxTokens   = 1 << 20
	usualTokens = 256
)

// Kind tells the two text endpoints apart.
type Kind uint8

// The text endpoints.
const (
	Chat Kind = iota
	Completion
)

// Request is what the relay reads of a caller's body.
type Request struct {
	Kind   Kind
	Model  string
	Stream bool
	// Usage says that the caller asked for the usage event at the end of a stream.
	Usage bool
	// Levels are the nested prefixes, shortest first.
	Levels []Level
	// PromptTokens and AnswerTokens are estimates.
	PromptTokens int
	AnswerTokens int
}

// fields are the parts of a body that the relay reads, found in one pass: a look-up by name would skip the long texts each time.
type fields struct {
	model, stream, options, n, limit, completion, messages, prompt gjson.Result
}

func readFields(body gjson.Result) fields {
	var f fields
	places := map[string]*gjson.Result{
		"model": &f.model, "stream": &f.stream, "stream_options": &f.options, "n": &f.n, "max_tokens": &f.limit,
		"max_completion_tokens": &f.completion, "messages": &f.messages, "prompt": &f.prompt,
	}
	body.ForEach(func(key, value gjson.Result) bool {
		if place, ok := places[key.Str]; ok {
			*place = value
		}
		return true
	})
	return f
}

// Parse reads a body; the error is a refusal that names the field. The long texts are read once and not copied where they need no unescaping.
func Parse(kind Kind, raw []byte) (Request, error) {
	if !gjson.ValidBytes(raw) {
		return Request{}, outcome.Refuse(outcome.BadRequest, "send a JSON object as the OpenAI API describes").WithField("body")
	}
	body := gjson.ParseBytes(raw)
	if !body.IsObject() {
		return Request{}, outcome.Refuse(outcome.BadRequest, "send a JSON object as the OpenAI API describes").WithField("body")
	}
	request := Request{Kind: kind, AnswerTokens: usualTokens}
	f := readFields(body)
	if err := request.check(f); err != nil {
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
	request.Levels = scan.levels
	request.PromptTokens = max(1, scan.length/bytesPerToken)
	return request, nil
}

func (r *Request) check(f fields) error {
	if f.model.Type != gjson.String || f.model.Str == "" {
		return outcome.Refuse(outcome.BadRequest, "name an assistant; /v1/models lists them").WithField("model")
	}
	r.Model = f.model.Str
	if err := flag("stream", f.stream, &r.Stream); err != nil {
		return err
	}
	if err := flag("stream_options.include_usage", f.options.Get("include_usage"), &r.Usage); err != nil {
		return err
	}
	if f.n.Exists() && f.n.Type != gjson.Null && f.n.Num != 1 {
		return outcome.Refuse(outcome.BadRequest, "ask for one answer per request").WithField("n")
	}
	if err := r.limit("max_tokens", f.limit); err != nil {
		return err
	}
	return r.limit("max_completion_tokens", f.completion)
}

func (r *Request) limit(field string, value gjson.Result) error {
	if !value.Exists() || value.Type == gjson.Null {
		return nil
	}
	tokens := int(value.Int())
	if value.Type != gjson.Number || float64(tokens) != value.Num || tokens < 1 || tokens > maxTokens {
		return outcome.Refuse(outcome.BadRequest, "use a number from 1 to %d", maxTokens).WithField(field)
	}
	r.AnswerTokens = tokens
	return nil
}

func flag(field string, value gjson.Result, into *bool) error {
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
	scan.mark()
	return nil
}

// scanContent reads a message's text; parts other than text are refused, since engines behind the relay read text only.
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
	scan.mark()
	return nil
}
