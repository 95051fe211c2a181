package silence

import "time"

// Message is an input of Core.Step.
type Message interface {
	apply(c *Core, now time.Duration, effects *Effects)
}

// Sent reports a request that waits for the first byte of its answer.
type Sent struct {
	Upstream string
	// Request identifies the request among all that wait.
	Request uint64
	// Limit is the time from which the request is overdue, see Overdue.
	Limit time.Duration
	// Answers reports that the upstream can be asked for something that takes no slot; otherwise an overdue request is a verdict.
	Answers bool
}

// Ended reports that a request no longer waits, whether it was answered or given up.
type Ended struct {
	Upstream string
	Request  uint64
}

// Received reports that the last byte of an upstream came Age ago.
type Received struct {
	Upstream string
	Age      time.Duration
}

// Overlong reports a poll, sent Age ago, that the upstream should have answered by now.
type Overlong struct {
	Upstream string
	Age      time.Duration
}

// Unanswered reports that the upstream has not answered a question, which was sent Age ago.
type Unanswered struct {
	Upstream string
	Age      time.Duration
}

// Unasked reports that a question was not sent, so that nothing follows from it.
type Unasked struct{ Upstream string }

// Report is what one VM tells the others of its cell: that an upstream is silent, or that it answers.
type Report struct {
	Upstream string
	Silent   bool
	// Age is the time since the evidence began: nothing came from the upstream since.
	Age time.Duration
	// Answers reports, in a report that was received, that the upstream can be asked as in Sent.
	Answers bool
}

// Known names all upstreams; the state of others is dropped.
type Known struct{ Upstreams map[string]bool }

// Tick drives all that depends on time alone; send one every TickInterval, after Received for each upstream in Due.
type Tick struct{}

// Effects are the results of a message.
type Effects struct {
	// Ask names the upstreams to ask for something that takes no slot; each question is followed by Received, Unanswered or Unasked.
	Ask     []string
	Changes []Change
	// Unanswered names the silent upstreams that have not answered one more question.
	Unanswered []string
	// Reports are for the other VMs of the cell.
	Reports []Report
}

// Change is a verdict or its end.
type Change struct {
	Upstream string
	Silent   bool
	// Cause is "request", "poll" or "report", Lasted the time since the evidence began.
	Cause  string
	Lasted time.Duration
}
