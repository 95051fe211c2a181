// Package stream decides for each event of a relayed stream whether to deliver it, to drop it or to resume from another upstream.
package stream
