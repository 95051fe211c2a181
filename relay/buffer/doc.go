// Package buffer bounds the memory of what a process holds of its upstreams' answers, for many of them together.
package buffer
