package prompt_test

import (
	"encoding/json"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/prompt"
)

func chatBody(texts ...string) []byte {
	var messages []map[string]string
	for _, text := range texts {
		messages = append(messages, map[string]string{"role": "user", "content": text})
	}
	body, err := json.Marshal(map[string]any{"model": "batch", "messages": messages})
	if err != nil {
		panic(err)
	}
	return body
}

func levels(body []byte) []prompt.Level {
	GinkgoHelper()
	request, err := prompt.Parse(prompt.Chat, body)
	Expect(err).NotTo(HaveOccurred())
	return request.Levels
}

var book = strings.Repeat("Warm the syrup slowly, \"stir\" and strain.\n", 400)

var _ = Describe("prefix levels", func() {
	It("are equal for the common prefix of two prompts and differ after it, so that no other prefix counts as cached", func() {
		one, other := levels(chatBody(book, "sheet 1")), levels(chatBody(book, "sheet 2"))
		Expect(len(one)).To(BeNumerically(">", 3))
		Expect(one[:len(one)-1]).To(Equal(other[:len(other)-1]))
		Expect(one[len(one)-1]).NotTo(Equal(other[len(other)-1]))
	})

	It("grow, and are the same for string content and for a list of text parts", func() {
		parts := `{"model":"batch","messages":[{"role":"user","content":[{"type":"text","text":` + encoded(book) + `}]},{"role":"user","content":"sheet 1"}]}`
		found := levels([]byte(parts))
		Expect(found).To(Equal(levels(chatBody(book, "sheet 1"))))
		for i := 1; i < len(found); i++ {
			Expect(found[i].Tokens).To(BeNumerically(">", found[i-1].Tokens))
		}
	})
})

var _ = Describe("rewriting", func() {
	It("replaces model, stream and stream_options and keeps every other field", func() {
		var got, want map[string]any
		raw := ` {"temperature":0.5,"model":"batch","stream":false,"stream_options":{"include_usage":false},"messages":[{"role":"user","content":"a\nb"}],"n":1} `
		Expect(json.Unmarshal(prompt.Rewrite([]byte(raw), `ba"se`), &got)).To(Succeed())
		Expect(json.Unmarshal([]byte(raw), &want)).To(Succeed())
		want["model"], want["stream"], want["stream_options"] = `ba"se`, true, map[string]any{"include_usage": true}
		Expect(got).To(Equal(want))
	})
})

func encoded(text string) string {
	raw, err := json.Marshal(text)
	Expect(err).NotTo(HaveOccurred())
	return string(raw)
}

// BenchmarkParse measures Parse and Rewrite, which take most of the relay's share of the time to first token.
func BenchmarkParse(b *testing.B) {
	raw := chatBody(strings.Repeat(book, 3), "sheet 1")
	b.SetBytes(int64(len(raw)))
	for b.Loop() {
		if _, err := prompt.Parse(prompt.Chat, raw); err != nil {
			b.Fatal(err)
		}
		prompt.Rewrite(raw, "base")
	}
}

var _ = Describe("shared parts", func() {
	parts := func(body string) []uint64 {
		request, err := prompt.Parse(prompt.Chat, []byte(body))
		Expect(err).NotTo(HaveOccurred())
		return request.SharedParts
	}

	It("are the messages before the last one, each by itself", func() {
		one := parts(`{"model":"m","messages":[{"role":"system","content":"a"},{"role":"user","content":"b"},{"role":"user","content":"x"}]}`)
		other := parts(`{"model":"m","messages":[{"role":"system","content":"c"},{"role":"user","content":"b"},{"role":"user","content":"y"}]}`)
		Expect(one).To(HaveLen(2))
		Expect(other).To(HaveLen(2))
		Expect(one[0]).NotTo(Equal(other[0]))
		Expect(one[1]).To(Equal(other[1]))
	})

	It("are none for a single message", func() {
		Expect(parts(`{"model":"m","messages":[{"role":"user","content":"a"}]}`)).To(BeEmpty())
	})
})
