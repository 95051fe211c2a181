// Package audit stores the audit trail of changes requested by operators, refused ones included.
package audit
