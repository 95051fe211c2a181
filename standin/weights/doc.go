// Package weights is a stand-in for the weight store, whose readers share one rate limit.
package weights
