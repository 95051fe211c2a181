package forward

import (
	"context"

	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
)

// Reservation is the reservation of a request of an account with a rate. Spend is called before each send and charges the first one; its
// refusal is the answer of a request that must not be sent. Exactly one of Return, for a request that has not run, and End must be called.
type Reservation struct {
	Spend  func() *outcome.Refusal
	Return func()
	End    func()
}

// ReserveFunc reserves what a request counts against its account's rate; an error that is an *outcome.Refusal is the request's answer.
type ReserveFunc func(context.Context, *PlacementRequest) (*Reservation, error)

// WithReserveFunc sets the function that requests of accounts with a rate pass through before their first placement.
func WithReserveFunc(reserve ReserveFunc) Option { return func(f *Forwarder) { f.reserve = reserve } }

// reserve reports whether the request may be placed as far as its account's rate is concerned, and answers it otherwise.
func (s *session) reserve(ctx context.Context) bool {
	account := s.placementRequest.Account
	if s.f.reserve == nil || s.route.Public || account == nil || account.Rate <= 0 {
		return true
	}
	reservation, err := s.f.reserve(ctx, s.placementRequest)
	if err != nil {
		s.placementFailed(ctx, err, nil)
		return false
	}
	s.reservation = reservation
	return true
}

// spend charges the request before it is sent for the first time, and answers it if it must not be sent.
func (s *session) spend(p *Placement) bool {
	if s.reservation == nil {
		return true
	}
	refusal := s.reservation.Spend()
	if refusal == nil {
		return true
	}
	p.Cancel()
	s.refuse(refusal, refusal.RetryAfter+s.retryAfter())
	return false
}

// settleReservation ends the reservation: a request that no upstream has run is not charged.
func (s *session) settleReservation() {
	switch {
	case s.reservation == nil:
	case s.runs == 0 && !s.inFlight:
		s.reservation.Return()
	default:
		s.reservation.End()
	}
}
