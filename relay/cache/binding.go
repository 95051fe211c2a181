package cache

import "fmt"

// Scope is the part of a binding that engines use to salt the keys of their prefix caches.
type Scope struct {
	Account string
	Model   string
	Adapter string
	Weights string
}

// Key is the full binding of an entry.
type Key struct {
	Scope
	Upstream    string
	Incarnation uint64
}

// Mismatch is the value that Usable panics with when an entry's binding differs from the requested one.
type Mismatch struct {
	Field string
	Entry Key
	Want  Key
}

// Error implements error.
func (m *Mismatch) Error() string {
	return fmt.Sprintf("cache entry bound to %+v used for %+v: field %s differs; report this as a fault of the relay", m.Entry, m.Want, m.Field)
}

// verify panics if the entry's binding differs from the requested one: reuse across bindings would leak or corrupt answers.
func verify(entry, want Key) {
	field := ""
	switch {
	case entry.Account != want.Account:
		field = "account"
	case entry.Model != want.Model:
		field = "model"
	case entry.Adapter != want.Adapter:
		field = "adapter"
	case entry.Weights != want.Weights:
		field = "weights"
	case entry.Upstream != want.Upstream:
		field = "upstream"
	case entry.Incarnation != want.Incarnation:
		field = "incarnation"
	default:
		return
	}
	panic(&Mismatch{Field: field, Entry: entry, Want: want})
}
