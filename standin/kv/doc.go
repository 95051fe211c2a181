// Package kv is a stand-in for the store of saved KV cache; an entry is found only under the client account, model, adapter and
// weights under which it was saved.
package kv
