// Package ledger deduplicates non-idempotent requests by their idempotency keys. The
// owner of a key's partition logs the key before the request is sent to a backend
// server, and the outcome with the response afterwards.
package ledger
