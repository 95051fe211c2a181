// Package quarantine decides which parts of prompts are kept from the engines because engines end as soon as they begin to answer
// on them (the pattern of a poison message, or query of death).
//
// A Core is a state machine without clock and I/O; one goroutine drives it. Each VM with callers runs one: it reports the crashes that
// its requests saw, and the answers to parts under suspicion, to the judges, and keeps the verdicts that it receives. Each control VM
// runs a judge: once enough engines have ended under a part it asks all VMs when the part was last answered, and puts it in quarantine if
// that was before the first of these crashes and no other part of the same requests was answered longer ago. A VM that has seen many such crashes itself needs no judge, so that a data centre
// which is cut off is protected too.
//
// A verdict names one VM that may send one request with the part on trial from time to time; an answer lifts the verdict everywhere.
// A VM or judge that has started asks for the verdicts, and they are repeated while they last, so that neither forgets any.
package quarantine
