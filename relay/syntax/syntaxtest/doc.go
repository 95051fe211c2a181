// Package syntaxtest has the odd texts that a decoder of JSON from outside has to stand, for the tests of such decoders.
package syntaxtest
