// Package fleet starts relays and stand-ins as processes on loopback and stops exactly those.
//
// It writes settings, logs and data below the plan's folder, which the caller creates and removes. A Fleet is not safe for
// concurrent use.
package fleet
