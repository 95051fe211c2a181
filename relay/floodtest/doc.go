// Package floodtest helps tests to measure the memory that bytes without end occupy.
package floodtest
