// Package operator implements the HTTP API for operators: statements, export of the audit trail, metrics and health.
//
// The handler authenticates the operator, plans the edits of a change against the installed configuration and records the change in
// the audit trail before and after it submits it. The caller supplies the configuration, the tables and the function that submits a
// command to the control VMs, and runs the HTTP server. The handler is safe for concurrent use.
package operator
