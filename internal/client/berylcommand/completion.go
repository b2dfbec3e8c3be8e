package berylcommand

import (
	"fmt"
	"strings"

	"github.com/alecthomas/kong"
)

// completionCommand prints a completion script.
type completionCommand struct{}

// Help gives an example.
func (*completionCommand) Help() string { return "Example:\n  eval \"$(beryllatch completion)\"" }

const completionScript = `_beryllatch() {
  local cur=${COMP_WORDS[COMP_CWORD]} path="" w
  for w in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
    case $w in -*) ;; *) path="$path $w" ;; esac
  done
  local words=""
  case "${path# }" in
%s  esac
  COMPREPLY=($(compgen -W "$words" -- "$cur"))
}
complete -o default -F _beryllatch beryllatch
`

// Run prints a bash script that completes commands and flags.
func (*completionCommand) Run(s *session) error {
	var cases strings.Builder
	walk(s.parser.Model.Node, "", func(path string, n *kong.Node) {
		pattern := path
		if n.Leaf() {
			pattern += "*"
		}
		_, _ = fmt.Fprintf(&cases, "  %q%s) words=%q ;;\n", path, strings.TrimPrefix(pattern, path), strings.Join(completionWords(n), " "))
	})
	_, err := fmt.Fprintf(s.stdout, completionScript, cases.String())
	return err
}

// completionWords returns the subcommands and flags that can follow a command.
func completionWords(n *kong.Node) []string {
	var out []string
	for _, child := range n.Children {
		if !child.Hidden {
			out = append(out, child.Name)
		}
	}
	for _, group := range n.AllFlags(true) {
		for _, f := range group {
			out = append(out, "--"+f.Name)
		}
	}
	return out
}

// walk visits a command and its subcommands at every level, without the hidden ones.
func walk(n *kong.Node, path string, visit func(path string, n *kong.Node)) {
	visit(path, n)
	for _, child := range n.Children {
		if !child.Hidden {
			walk(child, strings.TrimSpace(path+" "+child.Name), visit)
		}
	}
}
