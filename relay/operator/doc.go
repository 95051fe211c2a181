// Package operator implements the HTTP API for operators: statements, export of the audit trail, metrics and health.
package operator
