package berylcommand

import (
	"encoding/base64"
	"io"
	"strings"

	"github.com/beryllatch/beryllatch"

	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// secretSize is the size of a key's secret in bytes.
const secretSize = 32

// keyCreate creates a key.
type keyCreate struct {
	ID   string `arg:"" help:"ID of the key."`
	Team string `required:"" help:"Team that submits work with the key."`

	SecretFile string `type:"path" placeholder:"FILE" help:"File with the secret that an earlier call showed, to repeat that call if its outcome is unknown."`
}

// Help gives an example.
func (*keyCreate) Help() string {
	return "Example:\n  beryllatch key create wheels-2026 --team=wheels\nThe client generates the secret and shows it once; with --output=json, it is in the list keys of the outcome. Only its hash is sent to the node."
}

// Run sends the hash of a new secret, and shows the secret unless the key was certainly not created.
func (cmd *keyCreate) Run(s *session) error {
	secret, hash, err := cmd.secret(s)
	if err != nil {
		return err
	}
	key := createdKey{ID: cmd.ID, Team: cmd.Team, Secret: secret}
	return s.changeWithExtra(extraOutput{Keys: []createdKey{key}}, putKey(cmd.ID, cmd.Team, hash))
}

// secret returns a new secret and its hash. For the repeat of an earlier call, it returns the secret that the call
// showed, so that both calls send the same hash.
func (cmd *keyCreate) secret(s *session) (secret, hash string, err error) {
	if cmd.SecretFile == "" && s.settings.OperationID != "" {
		return "", "", usagef("--operation-id: needs --secret-file with the secret of the first call")
	}
	if cmd.SecretFile == "" {
		return newSecret(s.random)
	}
	b, err := s.readFile(cmd.SecretFile)
	if err != nil {
		return "", "", err
	}
	secret = strings.TrimSpace(string(b))
	if len(secret) < base64.RawURLEncoding.EncodedLen(secretSize) {
		return "", "", usagef("%s: the secret is too short", cmd.SecretFile)
	}
	return secret, beryllatch.HashSecret(secret), nil
}

// createdKey is the printed form of a new key. The secret cannot be shown again, since only its hash is stored.
type createdKey struct {
	ID     string `json:"id"`
	Team   string `json:"team"`
	Secret string `json:"secret"`
}

// putKey returns the change that adds a key.
func putKey(id, team, hash string) *berylwire.Change {
	return &berylwire.Change{Change: &berylwire.Change_PutApiKey{PutApiKey: &berylwire.ApiKey{Id: id, Team: team, Hash: hash}}}
}

// newSecret returns a secret and the hexadecimal digits of its SHA-256 hash.
func newSecret(random io.Reader) (secret, hash string, err error) {
	b := make([]byte, secretSize)
	if _, err := io.ReadFull(random, b); err != nil {
		return "", "", err
	}
	secret = base64.RawURLEncoding.EncodeToString(b)
	return secret, beryllatch.HashSecret(secret), nil
}
