// Package account finds the client accounts of a routing configuration by the keys that callers present. It holds digests
// only, so that neither the log nor a message to the leader carries a key beside the operator's own document.
package account

import (
	"crypto/sha256"

	"galenamoor/internal/controlpb"
)

// Directory finds client accounts by key and by name. It doesn't change.
type Directory struct {
	byKey  map[[sha256.Size]byte]*controlpb.ClientAccount
	byName map[string]*controlpb.ClientAccount
	weight float64 // of all accounts together
}

// New returns the directory of the given accounts. Of two accounts with the same key, the first one holds it.
func New(accounts []*controlpb.ClientAccount) *Directory {
	d := &Directory{byKey: map[[sha256.Size]byte]*controlpb.ClientAccount{}, byName: make(map[string]*controlpb.ClientAccount, len(accounts))}
	for _, a := range accounts {
		d.byName[a.GetName()] = a
		d.weight += Weight(a)
		for _, digest := range a.GetKeyDigests() {
			key, ok := keyOf(digest)
			if _, isHeld := d.byKey[key]; ok && !isHeld {
				d.byKey[key] = a
			}
		}
	}
	return d
}

// Digest returns the digest under which a key is known.
func Digest(key string) []byte {
	sum := sha256.Sum256([]byte(key))
	return sum[:]
}

// Holder returns the account that holds the key with a digest, or nil.
func (d *Directory) Holder(digest []byte) *controlpb.ClientAccount {
	key, ok := keyOf(digest)
	if !ok {
		return nil
	}
	return d.byKey[key]
}

// Named returns the account with a name, or nil.
func (d *Directory) Named(name string) *controlpb.ClientAccount { return d.byName[name] }

// Weight returns the weight of an account, 1 if it has none.
func Weight(a *controlpb.ClientAccount) float64 {
	if a.GetWeight() > 0 {
		return a.GetWeight()
	}
	return 1
}

// Share returns the part of an account's weight in the weights of all accounts, 0 if the account isn't one of them.
func (d *Directory) Share(name string) float64 {
	if a := d.byName[name]; a != nil {
		return Weight(a) / d.weight
	}
	return 0
}

// keyOf returns a digest as the key of a map, unless its length is wrong.
func keyOf(digest []byte) (key [sha256.Size]byte, ok bool) {
	return key, copy(key[:], digest) == sha256.Size && len(digest) == sha256.Size
}
