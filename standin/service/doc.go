// Package service is a stand-in for a plain service, such as bookings, that counts how often the work of each idempotency key ran.
package service
