package replica

import "github.com/chicoryrelay/chicoryrelay/standin/engine"

// Usage lists the token counts of one request.
type Usage struct {
	PromptTokens     int     `json:"prompt_tokens"`
	CompletionTokens int     `json:"completion_tokens"`
	TotalTokens      int     `json:"total_tokens"`
	Details          Details `json:"prompt_tokens_details"`
}

// Details lists the number of prompt tokens found in the cache.
type Details struct {
	CachedTokens int `json:"cached_tokens"`
}

// Chunk is one event of a stream, or the whole response if it is not streamed.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
	// Fingerprint is the engine's software version.
	Fingerprint string `json:"system_fingerprint,omitempty"`
}

// Choice is the only choice of a chunk; chats use Delta in streams and Message otherwise, completions use Text.
type Choice struct {
	Index   int     `json:"index"`
	Delta   *Delta  `json:"delta,omitempty"`
	Message *Delta  `json:"message,omitempty"`
	Text    *string `json:"text,omitempty"`
	Finish  *string `json:"finish_reason"`
}

// Delta is a part of a chat message, or the whole message if it is not streamed.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// finishReason returns length if a token limit set the output length, and stop otherwise.
func (p Prompt) finishReason() *string {
	reason := "stop"
	if p.Limited {
		reason = "length"
	}
	return &reason
}

func (p Prompt) objectType(streamed bool) string {
	switch {
	case p.Chat && streamed:
		return "chat.completion.chunk"
	case p.Chat:
		return "chat.completion"
	default:
		return "text_completion"
	}
}

// streamChunk returns the chunk for one engine event.
func (p Prompt) streamChunk(id string, version engine.Version, event engine.Event) Chunk {
	chunk := Chunk{ID: id, Object: p.objectType(true), Model: version.Model, Choices: []Choice{{}}}
	choice := &chunk.Choices[0]
	text := ""
	if event.Kind == engine.Finish {
		choice.Finish = p.finishReason()
	} else {
		text = engine.Token(p.Body, version, event.Seq)
	}
	if !p.Chat {
		choice.Text = &text
		return chunk
	}
	choice.Delta = &Delta{Content: text}
	if event.Seq == 0 {
		choice.Delta.Role = "assistant"
	}
	return chunk
}

func (p Prompt) usage(prompt int, cached int) *Usage {
	return &Usage{PromptTokens: prompt, CompletionTokens: p.Answer, TotalTokens: prompt + p.Answer, Details: Details{CachedTokens: cached}}
}

// completion returns the whole response to a request that is not streamed, from output token from on.
func (p Prompt) completion(id string, version engine.Version, from, prompt, cached int) Chunk {
	text := ""
	for i := from; i < p.Answer; i++ {
		text += engine.Token(p.Body, version, i)
	}
	choice := Choice{Finish: p.finishReason()}
	if p.Chat {
		choice.Message = &Delta{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	return Chunk{ID: id, Object: p.objectType(false), Model: version.Model, Choices: []Choice{choice}, Usage: p.usage(prompt, cached)}
}
