package beryloperator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"strings"
)

// Credential names an operator and holds the SHA-256 hash of the operator's token.
type Credential struct {
	Name string
	Hash [sha256.Size]byte
}

// CredentialError reports a setting that is not of the form name:hash.
type CredentialError struct {
	Name   string
	Reason string
}

// Error names the operator, never the hash.
func (e *CredentialError) Error() string { return fmt.Sprintf("operator %q: %s", e.Name, e.Reason) }

// ParseCredential reads a setting of the form name:hash, the hash being 64 hexadecimal digits.
func ParseCredential(s string) (Credential, error) {
	name, digits, ok := strings.Cut(s, ":")
	if !ok || name == "" {
		return Credential{}, &CredentialError{Name: name, Reason: "must have the form name:hash"}
	}
	hash, err := hex.DecodeString(digits)
	if err != nil || len(hash) != sha256.Size {
		return Credential{}, &CredentialError{Name: name, Reason: "the hash must be 64 hexadecimal digits"}
	}
	return Credential{Name: name, Hash: [sha256.Size]byte(hash)}, nil
}

// identify returns the name of the operator with the token. It compares the token with every hash in constant time, so
// that the duration of a call reveals nothing about the hashes.
func identify(credentials []Credential, token string) (string, bool) {
	hash := sha256.Sum256([]byte(token))
	name, found := "", false
	for _, c := range credentials {
		if subtle.ConstantTimeCompare(hash[:], c.Hash[:]) == 1 {
			name, found = c.Name, true
		}
	}
	return name, found
}
