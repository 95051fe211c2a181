// Package syntax finds what JSON text says otherwise than encoding/json reads it: keys that come twice in one object (the last would
// hold), keys that differ from a field's name only in case (they would set it), and text that isn't valid UTF-8 (it would be replaced).
// Texts from outside that have any of these are refused or left out, so that what is used is what was written.
//
// The cost of a check is linear in the bytes. The package keeps no state but the names of the fields of Go types, and is safe for
// concurrent use.
package syntax
