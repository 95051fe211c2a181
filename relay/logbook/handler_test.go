package logbook_test

import (
	"bytes"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/logbook"
)

// output records lines; writes wait until blocked is closed, if it is set.
type output struct {
	mu      sync.Mutex
	text    bytes.Buffer
	blocked chan struct{}
}

func (o *output) Write(line []byte) (int, error) {
	if o.blocked != nil {
		<-o.blocked
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(line)
}

func (o *output) lines() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Split(strings.TrimSuffix(o.text.String(), "\n"), "\n")
}

var _ = Describe("the log handler", func() {
	now := time.Date(2026, 1, 1, 10, 0, 0, 0, time.UTC)
	logger := func(o *output, lines int) (*log.Logger, *logbook.Handler) {
		handler := logbook.New(o, logbook.WithLinesPerSecond(lines), logbook.WithNow(func() time.Time { return now }))
		return &log.Logger{Handler: handler, Level: log.InfoLevel}, handler
	}

	It("writes an entry as one line with sorted fields, and quotes only values that need quotes", func() {
		o := &output{}
		l, handler := logger(o, 10)
		l.WithFields(log.Fields{"request": "9c41", "age": 1500 * time.Microsecond, "cause": "it broke", "empty": ""}).Info("attempt broke")
		handler.Close(time.Second)
		Expect(o.lines()).To(Equal([]string{`time=10:00:00.000 level=info event="attempt broke" age=1.5ms cause="it broke" empty="" request=9c41`}))
	})

	It("drops routine lines before warnings when the line budget is used up, and logs how many it dropped", func() {
		o := &output{}
		l, handler := logger(o, 10)
		for range 20 {
			l.Info("routine")
		}
		l.Warn("lost the leader")
		handler.Close(time.Second)
		text := strings.Join(o.lines(), "\n")
		Expect(strings.Count(text, "event=routine")).To(Equal(8))
		Expect(text).To(ContainSubstring(`event="log lines dropped" lines=12`))
		Expect(text).To(ContainSubstring(`event="lost the leader"`))
	})

	It("never blocks its caller while the output is blocked, and logs afterwards how many lines it dropped", func() {
		o := &output{blocked: make(chan struct{})}
		l, handler := logger(o, 1_000_000)
		finished := make(chan struct{})
		go func() {
			for range 10_000 {
				l.Info("routine")
			}
			close(finished)
		}()
		Eventually(finished, "5s").Should(BeClosed())
		close(o.blocked)
		Eventually(func() int { return len(o.lines()) }, "5s").Should(BeNumerically(">", 100))
		l.Info("later")
		handler.Close(time.Second)
		Expect(strings.Join(o.lines(), "\n")).To(ContainSubstring("log lines dropped"))
	})

	It("ignores entries after it is closed", func() {
		o := &output{}
		l, handler := logger(o, 10)
		handler.Close(time.Second)
		l.Info("late")
		Expect(o.lines()).To(Equal([]string{""}))
	})
})
