// Package ledger keeps the idempotency keys of non-idempotent requests: a key is
// logged by its home partition before the request is sent, and its answer after.
package ledger
