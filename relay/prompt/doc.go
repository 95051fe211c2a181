// Package prompt parses the bodies of callers' requests and computes the prefix levels of their prompts.
package prompt
