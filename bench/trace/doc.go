// Package trace generates, writes and reads traces of requests with nested shared prefixes.
//
// Generate draws the co-operative's and the baths' mixed work, Sheet.Generate the language-model load of their data sheets.
// A trace depends on its settings and seed only.
package trace
