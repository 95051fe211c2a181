// Package prompt parses the bodies of callers' text requests, computes the prefix levels of their prompts and rewrites the bodies
// for the engines.
//
// Its functions keep no state and are safe for concurrent use. Lengths in tokens are estimates from the length in bytes. The caller
// limits the size of the body and calls Rewrite only with a body that Parse has accepted.
package prompt
