package beryllatch

import (
	"crypto/sha256"
	"encoding/hex"
)

// HashSecret returns the SHA-256 of a secret in hexadecimal digits. Keys are stored and compared in this form.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
