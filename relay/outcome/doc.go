// Package outcome defines the refusal of a request and whether the refused request was run.
package outcome
