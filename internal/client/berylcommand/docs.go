package berylcommand

import (
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kong"
)

//go:generate sh -c "go run ../../../cmd/beryllatch docs > ../../../docs/CLIENT.md"

// docsCommand prints the reference page.
type docsCommand struct{}

// Run prints the page as Markdown.
func (*docsCommand) Run(s *session) error {
	_, _ = fmt.Fprintf(s.stdout, "# beryllatch\n\n%s\n\nGenerated from the commands by `beryllatch docs`.\n", description)
	_, _ = fmt.Fprint(s.stdout, "\n## Flags of every command\n\n")
	writeFlags(s.stdout, s.parser.Model.Node)
	walk(s.parser.Model.Node, "", func(path string, n *kong.Node) {
		if n.Leaf() && path != "" {
			writeCommand(s.stdout, path, n)
		}
	})
	return nil
}

func writeCommand(w io.Writer, path string, n *kong.Node) {
	usage := "beryllatch " + path
	for _, p := range n.Positional {
		usage += " " + p.Summary()
	}
	_, _ = fmt.Fprintf(w, "\n## beryllatch %s\n\n%s\n\n    %s [flags]\n", path, n.Help, usage)
	if n.Detail != "" {
		_, _ = fmt.Fprintf(w, "\n```text\n%s\n```\n", n.Detail)
	}
	if len(n.Positional)+len(n.Flags) == 0 {
		return
	}
	_, _ = fmt.Fprintln(w)
	for _, p := range n.Positional {
		_, _ = fmt.Fprintf(w, "- `%s`: %s\n", p.Summary(), p.Help)
	}
	writeFlags(w, n)
}

func writeFlags(w io.Writer, n *kong.Node) {
	for _, f := range n.Flags {
		if f.Name == "help" {
			continue
		}
		notes := ""
		if f.HasDefault && f.Default != "" {
			notes += " Default `" + f.Default + "`."
		}
		if f.Required {
			notes += " Required."
		}
		if len(f.Envs) > 0 {
			notes += " Environment `" + strings.Join(f.Envs, "`, `") + "`."
		}
		_, _ = fmt.Fprintf(w, "- `--%s`: %s%s\n", f.Name, flagHelp(f), notes)
	}
}

// flagHelp returns the help text of a flag with the flag's allowed values filled in.
func flagHelp(f *kong.Flag) string { return strings.ReplaceAll(f.Help, "${enum}", f.Enum) }
