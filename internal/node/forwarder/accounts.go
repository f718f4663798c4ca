package forwarder

import (
	"crypto/rand"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/forward/gatherer"
)

// keySecretBytes is the length of the key of the digests of account keys.
const keySecretBytes = 32

// newKeySecret returns a random key for the digests of account keys.
func newKeySecret() []byte {
	secret := make([]byte, keySecretBytes)
	_, _ = rand.Read(secret) // never fails
	return secret
}

// accountUse returns the use of the leaves by a client account, which is owed a share.
func (n *Node) accountUse(account string, share float64) gatherer.Use {
	return n.weigher.Account(account, share, time.Now())
}
