// Package answer reads the JSON requests and writes the JSON responses of the stand-ins.
package answer
