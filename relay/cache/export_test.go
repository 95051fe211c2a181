package cache

// Verify exposes the check of bindings in UsableTokens.
var Verify = verify
