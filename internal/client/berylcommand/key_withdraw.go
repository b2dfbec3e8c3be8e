package berylcommand

import (
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// keyWithdraw withdraws a key permanently.
type keyWithdraw struct {
	ID string `arg:"" help:"ID of the key."`
}

// Help gives an example.
func (*keyWithdraw) Help() string { return "Example:\n  beryllatch key withdraw wheels-2026" }

// Run sends the change.
func (cmd *keyWithdraw) Run(s *session) error {
	return s.change(&berylwire.Change{Change: &berylwire.Change_WithdrawApiKey{WithdrawApiKey: cmd.ID}})
}
