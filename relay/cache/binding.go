package cache

import "fmt"

// Scope is the part of a binding that engines use to salt the keys of their prefix caches.
type Scope struct {
	Account string
	Model   string
	Adapter string
	Weights string
}

// Binding is the full binding of an entry.
type Binding struct {
	Scope
	Upstream    string
	Incarnation uint64
}

// BindingMismatch is the value that UsableTokens panics with when an entry's binding differs from the requested one.
type BindingMismatch struct {
	Field string
	Entry Binding
	Want  Binding
}

// Error implements error.
func (m *BindingMismatch) Error() string {
	return fmt.Sprintf("cache entry bound to %+v used for %+v: field %s differs; report this as a fault of the relay", m.Entry, m.Want, m.Field)
}

// verify panics if the entry's binding differs from the requested one: reuse across bindings would leak or corrupt answers.
func verify(entry, want Binding) {
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
	panic(&BindingMismatch{Field: field, Entry: entry, Want: want})
}
