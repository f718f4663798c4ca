package forwarder

import "crypto/rand"

// keySecretBytes is the length of the key of the digests of account keys.
const keySecretBytes = 32

// newKeySecret returns a random key for the digests of account keys.
func newKeySecret() []byte {
	secret := make([]byte, keySecretBytes)
	_, _ = rand.Read(secret) // never fails
	return secret
}
