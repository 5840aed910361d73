// Package cli is the command line of railctl, the operators' tool.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	"chervilrail.example/core/parser"
	"chervilrail.example/core/securer"
	"chervilrail.example/railctl/internal/client"
)

// Exit codes, for use in scripts.
const (
	exitFailure     = 1
	exitInput       = 2
	exitConflict    = 3
	exitUnreachable = 4
	exitNotInForce  = 5
)

const defaultTimeout = 10 * time.Second

// Run runs the program and returns its exit code.
func Run(args []string) int {
	root := &cli.Command{
		Name:  "railctl",
		Usage: "plan, apply and watch the catalogue of chervilrail",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "controllers", Usage: "operator `ADDRESSES` of the controllers, with commas",
				Sources: cli.EnvVars("RAILCTL_CONTROLLERS"),
			},
			&cli.StringFlag{
				Name: "token", Usage: "`FILE` with the operator token", Sources: cli.EnvVars("RAILCTL_TOKEN"),
			},
			&cli.StringFlag{Name: "certificate", Usage: "client certificate `FILE`"},
			&cli.StringFlag{Name: "key", Usage: "client key `FILE`"},
			&cli.StringFlag{Name: "authority", Usage: "`FILE` with the authority of the controllers"},
			&cli.StringFlag{Name: "output", Usage: "text or json", Value: "text"},
			&cli.DurationFlag{Name: "patience", Usage: "how long to try", Value: defaultTimeout},
		},
		Commands: []*cli.Command{
			planCommand(), applyCommand(), diffCommand(), getCommand(),
			watchCommand(), drainCommand(), undrainCommand(), statusCommand(),
		},
	}
	err := root.Run(context.Background(), args)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "railctl:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var faults *parser.FaultsError
	var unreachable *client.UnreachableError
	var conflict *ConflictError
	var notInForce *NotInForceError
	var input *InputError
	switch {
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &notInForce):
		return exitNotInForce
	case errors.As(err, &unreachable):
		return exitUnreachable
	case errors.As(err, &faults), errors.As(err, &input), connect.CodeOf(err) == connect.CodeInvalidArgument:
		return exitInput
	}
	return exitFailure
}

// session contains the client, the context with the timeout, and the output of one run of the program.
type session struct {
	*client.Client
	ctx    context.Context
	cancel context.CancelFunc
	out    io.Writer
	json   bool
}

func open(ctx context.Context, c *cli.Command) (*session, error) {
	s := &session{
		Client: &client.Client{
			TokenFile: c.String("token"),
			Keys: securer.Files{
				Certificate: c.String("certificate"),
				Key:         c.String("key"),
				Authority:   c.String("authority"),
			},
		},
		out: c.Root().Writer,
	}
	switch c.String("output") {
	case "json":
		s.json = true
	case "text":
	default:
		return nil, &InputError{"output", "text or json", c.String("output")}
	}
	for _, text := range strings.Split(c.String("controllers"), ",") {
		address, err := netip.ParseAddrPort(strings.TrimSpace(text))
		if err != nil {
			return nil, &InputError{"controllers", "addresses such as 127.0.0.1:7100", text}
		}
		s.Controllers = append(s.Controllers, address)
	}
	if err := s.Open(); err != nil {
		return nil, err
	}
	s.ctx, s.cancel = context.WithTimeout(ctx, c.Duration("patience"))
	return s, nil
}

// print writes value as JSON if JSON output is selected, otherwise text.
func (s *session) print(value any, text string) error {
	if s.json {
		return json.NewEncoder(s.out).Encode(value)
	}
	_, err := io.WriteString(s.out, text)
	return err
}
