package berylcommand

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kong"
)

// settings are the flags that every command takes.
type settings struct {
	Address     []string      `env:"BERYLLATCH_ADDRESS" default:"http://127.0.0.1:8081" placeholder:"URL" help:"URLs of the nodes' operator listeners; if one cannot be reached, the next is tried."`
	TokenFile   string        `env:"BERYLLATCH_TOKEN_FILE" type:"path" placeholder:"FILE" help:"File with the operator token."`
	Output      string        `env:"BERYLLATCH_OUTPUT" enum:"table,json" default:"table" help:"Output format: ${enum}."`
	OperationID string        `placeholder:"ID" help:"Operation id of the change; a repeat with the same id returns the first outcome."`
	Timeout     time.Duration `env:"BERYLLATCH_TIMEOUT" default:"30s" help:"Time limit for one call to a node."`

	TLS            tlsSettings `embed:"" prefix:"tls-"`
	AllowPlainText bool        `env:"BERYLLATCH_ALLOW_PLAIN_TEXT" help:"Send the token in plain text to addresses other than loopback."`
}

// cli lists the flags and commands of the client.
type cli struct {
	settings

	Apply      applyCommand      `cmd:"" help:"Make the changes of a file in one configuration version."`
	Team       teamCommand       `cmd:"" help:"Teams: customers with a share and a ceiling."`
	Service    serviceCommand    `cmd:"" help:"Services: groups of pools that share a disruption budget."`
	Pool       poolCommand       `cmd:"" help:"Pools: instances that serve the same queues."`
	Queue      queueCommand      `cmd:"" help:"Queues: where teams submit work."`
	Key        keyCommand        `cmd:"" help:"Keys: credentials with which teams submit work."`
	DC         dataCentreCommand `cmd:"" name:"dc" help:"Data centres: failure domains, taken out of service as a whole."`
	Instance   instanceCommand   `cmd:"" help:"Instances: the workers of the fleet."`
	Moves      movesCommand      `cmd:"" help:"Load moves: instances that the nodes move to pools with more load."`
	Wave       waveCommand       `cmd:"" help:"Maintenance waves."`
	Task       taskCommand       `cmd:"" help:"Tasks that wait for an operator."`
	Status     statusCommand     `cmd:"" help:"State of the fleet, a team or a task."`
	Explain    explainCommand    `cmd:"" help:"Print what the nodes' logs say about a job, in chronological order."`
	Completion completionCommand `cmd:"" help:"Print a completion script for bash."`
	Docs       docsCommand       `cmd:"" hidden:"" help:"Print the reference page of the client."`
}

const description = `Operators' client of beryllatch.

Exit status: 0 done, 1 refused, 2 wrong usage, 3 outcome unknown (repeat with the same --operation-id), 4 no node answered.`

// Run executes the command line and returns the exit status.
func Run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	s := &session{ctx: ctx, stdin: stdin, stdout: stdout, stderr: stderr, random: rand.Reader}
	err := s.run(args)
	if err != nil && !errors.Is(err, errHelpShown) {
		_, _ = fmt.Fprintln(stderr, "beryllatch:", err)
	}
	return exitStatus(err)
}

func (s *session) run(args []string) error {
	var c cli
	exited := false
	parser, err := kong.New(&c, kong.Name("beryllatch"), kong.Description(description), kong.Writers(s.stdout, s.stderr),
		kong.Exit(func(int) { exited = true }), kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		return err
	}
	s.parser = parser
	k, err := parser.Parse(args)
	switch {
	case exited:
		return errHelpShown
	case err != nil:
		return &usageError{err: err}
	}
	s.settings = c.settings
	return k.Run(s)
}
