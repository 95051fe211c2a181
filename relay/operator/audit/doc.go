// Package audit stores the audit trail of changes requested by operators, refused ones included. Each VM has its own trail with the
// changes that were sent to it. The methods of a Trail are safe for concurrent use.
package audit
