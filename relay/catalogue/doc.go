// Package catalogue decodes the objects of the replicated configuration into typed upstreams, client accounts, assistants, rules
// and operators.
package catalogue
