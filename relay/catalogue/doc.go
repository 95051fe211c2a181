// Package catalogue decodes the objects of the replicated configuration into typed upstreams, client accounts, assistants, rules
// and operators.
//
// A Catalogue is immutable, so goroutines may share it. It keeps the desired state as a document, which package route decodes.
package catalogue
