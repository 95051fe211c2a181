package cache

// Verify exposes the check of bindings in Usable.
var Verify = verify
