package fleet

import (
	"crypto/sha256"
	"iter"
	"maps"

	"filbertcross/internal/model"
)

// Account is a client account as operators configure it.
type Account struct {
	Name string `cbor:"1,keyasint"`
	// Weight is the account's share when capacity is short, relative to the weights of the others,
	// and the submissions per second that it may hand in then.
	Weight float64         `cbor:"2,keyasint"`
	Quota  model.Resources `cbor:"3,keyasint"` // maximum of its runs on all workers together; 0 in a resource: no limit
}

// KeyDigest identifies an API key. The key itself is kept nowhere, so that it cannot appear in logs.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Accounts are the client accounts of a configuration. It is immutable once it is part of one.
type Accounts struct {
	byName map[string]Account
	byKey  map[KeyDigest]string
}

// NewAccounts returns an empty set.
func NewAccounts() *Accounts {
	return &Accounts{byName: map[string]Account{}, byKey: map[KeyDigest]string{}}
}

// Add adds an account and reports whether its name was free.
func (a *Accounts) Add(account Account) bool {
	if _, ok := a.byName[account.Name]; ok {
		return false
	}
	a.byName[account.Name] = account
	return true
}

// AddKey adds a key of the account with the name and reports whether no account had it.
func (a *Accounts) AddKey(key, name string) bool {
	digest := DigestKey(key)
	if _, ok := a.byKey[digest]; ok {
		return false
	}
	a.byKey[digest] = name
	return true
}

// ByKey returns the account of a key. It takes the same time for any number of keys.
func (a *Accounts) ByKey(key string) (Account, bool) {
	name, ok := a.byKey[DigestKey(key)]
	return a.byName[name], ok
}

// ByName returns the account with the name. A nil set has none.
func (a *Accounts) ByName(name string) (Account, bool) {
	if a == nil {
		return Account{}, false
	}
	account, ok := a.byName[name]
	return account, ok
}

// All returns all accounts, in no order. A nil set has none.
func (a *Accounts) All() iter.Seq[Account] {
	if a == nil {
		return func(func(Account) bool) {}
	}
	return maps.Values(a.byName)
}

// Len returns the number of accounts; 0 for a nil set.
func (a *Accounts) Len() int {
	if a == nil {
		return 0
	}
	return len(a.byName)
}
