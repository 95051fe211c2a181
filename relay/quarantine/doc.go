// Package quarantine decides which requests, and which parts of prompts, are kept from the upstreams because these end as soon as they
// begin to run them (the pattern of a poison message, or query of death).
//
// A Core is a state machine without clock and I/O; one goroutine drives it. Each VM with callers runs one: it reports the crashes that
// its requests saw, and the answers to what is under suspicion, to the judges, and keeps the verdicts that it receives. Each control VM
// runs a judge: once enough upstreams have ended under a request, known by its fingerprint, or under a part, it asks all VMs when that was
// last answered. It puts it in quarantine if that was before the first of these crashes, and nothing else that was in progress at them is
// the more likely cause. A VM that has seen many such crashes itself needs no judge, so that a data centre which is cut off is protected
// too.
//
// A verdict on a part names one VM that may send a request with it on trial from time to time; the trial of a request is left by a judge to
// the first VM that has it and asks. An answer lifts the verdict everywhere. Judges tell the checksum of their verdicts while there are
// any, and a VM that has started, or has others, asks for them.
package quarantine
