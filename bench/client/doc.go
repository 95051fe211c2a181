// Package client sends requests to a relay or an engine and checks that each answer is complete, in order and that of its request.
package client
