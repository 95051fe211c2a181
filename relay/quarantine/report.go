package quarantine

import "time"

// Crash reports that an upstream's connection ended under a request with the given parts, which the upstream had just begun to answer or
// not yet.
type Crash struct {
	Upstream string
	Parts    []uint64
	// Request is the fingerprint of the request, 0 if it has none.
	Request uint64
	// ID is the same each time that the crash is reported, and greater than those of the VM's earlier ones; 0 before it is reported.
	ID uint64
	// Age is the time since the crash, Running the time from the sending of the requests to the crash.
	Age, Running time.Duration
}

// Answer reports that an upstream answered a request with a part or a fingerprint, Age ago.
type Answer struct {
	Part uint64
	Age  time.Duration
}

// Verdict puts a part or a request in quarantine or lifts it. Of two verdicts on a part, that of the higher generation holds, and of two of one
// generation the lifted one.
type Verdict struct {
	Part uint64
	// Request reports that Part is the fingerprint of a request.
	Request    bool
	Generation uint32
	Lifted     bool
	// Remaining is the time for which the verdict lasts.
	Remaining time.Duration
	// Trial is the VM that may send one request with the part after TrialIn, or one quarantined request itself; it leaves the latter to
	// the first VM that asks.
	Trial   string
	TrialIn time.Duration
}

// Report is a message between VMs.
type Report struct {
	Crashes []Crash
	// Suspects are parts of which a judge asks when they were last answered.
	Suspects []uint64
	// Answered are the last answers to parts under suspicion or on trial, or of which a judge asked.
	Answered []Answer
	Verdicts []Verdict
	// Acknowledged is the ID of the last crash of the receiver that a judge has received, 0 for none: it has the ones before too.
	Acknowledged uint64
	// Claims are quarantined requests that the sender wants to try in place of the receiver, Grants those that it may try.
	Claims, Grants []uint64
	// Checksum is that of the sender's verdicts, 0 for none.
	Checksum uint64
	// Query asks for all verdicts, as after a start; Reply marks the answer.
	Query, Reply bool
}

// Audience is the set of VMs that a report is sent to.
type Audience uint8

// The audiences.
const (
	// Judges are the control VMs other than the sender.
	Judges Audience = iota
	// Everyone are all VMs that the sender has sessions with.
	Everyone
	// Sender is the VM named in Outgoing.Name.
	Sender
)

// Outgoing is a report to be sent.
type Outgoing struct {
	To     Audience
	Name   string
	Report Report
}

// Notice is a change of what is in quarantine, for the log and the metrics.
type Notice struct {
	Verdict
	// Upstreams are the engines that ended under the part, if this VM passed the verdict.
	Upstreams []string
}

// Effects are the results of a step.
type Effects struct {
	Outgoing []Outgoing
	Notices  []Notice
}
