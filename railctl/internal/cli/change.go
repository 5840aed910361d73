package cli

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"
	"strings"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"chervilrail.example/core/cataloguer"
	"chervilrail.example/core/parser"
	"chervilrail.example/core/wire"
)

func readFile(c *cli.Command) (string, []byte, error) {
	path := c.Args().First()
	if path == "" {
		return "", nil, &InputError{"file", "a catalogue file", ""}
	}
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return "", nil, &InputError{"file", "a catalogue file that exists", path}
	}
	if err != nil {
		return "", nil, err
	}
	_, err = cataloguer.Parse(path, data)
	return path, data, err
}

func planCommand() *cli.Command {
	return &cli.Command{
		Name:      "plan",
		Usage:     "check a catalogue file and show what it would change",
		ArgsUsage: "FILE",
		Action:    compare,
	}
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show how a catalogue file differs from the one in force",
		ArgsUsage: "FILE",
		Action:    compare,
	}
}

// plan is the JSON output of the commands plan and diff.
type plan struct {
	Number uint64            `json:"number"`
	Edits  []cataloguer.Edit `json:"edits"`
}

func compare(ctx context.Context, c *cli.Command) error {
	_, data, err := readFile(c)
	if err != nil {
		return err
	}
	s, err := open(ctx, c)
	if err != nil {
		return err
	}
	defer s.cancel()
	current, err := s.Get(s.ctx)
	if err != nil {
		return err
	}
	edits := cataloguer.Diff(current.GetCatalogue(), data)
	var text strings.Builder
	for _, e := range edits {
		fmt.Fprintln(&text, e)
	}
	fmt.Fprintf(&text, "%d edits against number %d\n", len(edits), current.GetNumber())
	return s.print(plan{current.GetNumber(), edits}, text.String())
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "put a catalogue file in force",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.UintFlag{Name: "number", Usage: "change number; by default one above the one in force"},
			&cli.StringFlag{Name: "id", Usage: "change id; give the same one to resend a change"},
			&cli.StringFlag{Name: "author", Usage: "who makes the change"},
			&cli.BoolFlag{Name: "watch", Usage: "wait until the change is in force on every entry instance"},
		},
		Action: apply,
	}
}

func apply(ctx context.Context, c *cli.Command) error {
	_, data, err := readFile(c)
	if err != nil {
		return err
	}
	s, err := open(ctx, c)
	if err != nil {
		return err
	}
	defer s.cancel()
	change := &wire.Change{
		Id:        c.String("id"),
		Number:    uint64(c.Uint("number")),
		Catalogue: data,
		Author:    c.String("author"),
	}
	if err := s.apply(change); err != nil {
		return err
	}
	if c.Bool("watch") {
		return s.watch(change.GetNumber())
	}
	return nil
}

// verdict is the JSON output for an accepted change.
type verdict struct {
	ID       string `json:"id"`
	Number   uint64 `json:"number"`
	Accepted bool   `json:"accepted"`
}

func (s *session) apply(change *wire.Change) error {
	if change.GetId() == "" {
		id, err := uuid.NewV7()
		if err != nil {
			return err
		}
		change.Id = id.String()
	}
	if change.GetNumber() == 0 {
		current, err := s.Get(s.ctx)
		if err != nil {
			return err
		}
		change.Number = current.GetNumber() + 1
	}
	// The ID is printed before the change is sent, so that the operator can resend the change if the answer is lost.
	fmt.Fprintf(os.Stderr, "change %s asks for number %d\n", change.GetId(), change.GetNumber())
	v, err := s.Apply(s.ctx, change)
	if err != nil {
		return err
	}
	if !v.GetAccepted() {
		return &ConflictError{Number: v.GetNumber(), Winner: v.GetWinner(), Reason: v.GetReason()}
	}
	return s.print(verdict{change.GetId(), v.GetNumber(), true},
		fmt.Sprintf("accepted as number %d\n", v.GetNumber()))
}

func getCommand() *cli.Command {
	return &cli.Command{
		Name:  "get",
		Usage: "print the catalogue in force",
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := open(ctx, c)
			if err != nil {
				return err
			}
			defer s.cancel()
			current, err := s.Get(s.ctx)
			if err != nil {
				return err
			}
			value := struct {
				Number    uint64 `json:"number"`
				Catalogue string `json:"catalogue"`
			}{current.GetNumber(), string(current.GetCatalogue())}
			return s.print(value, value.Catalogue)
		},
	}
}

var drainKinds = []string{"target", "instance", "zone", "region"}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "take a target, instance, zone or region out of use",
		ArgsUsage: "KIND NAME",
		Action:    func(ctx context.Context, c *cli.Command) error { return changeDrain(ctx, c, addDrain) },
	}
}

func undrainCommand() *cli.Command {
	return &cli.Command{
		Name:      "undrain",
		Usage:     "bring back what was drained",
		ArgsUsage: "KIND NAME",
		Action:    func(ctx context.Context, c *cli.Command) error { return changeDrain(ctx, c, removeDrain) },
	}
}

func changeDrain(ctx context.Context, c *cli.Command, edit func(text, kind, name string) (string, error)) error {
	kind, name := c.Args().Get(0), c.Args().Get(1)
	if !slices.Contains(drainKinds, kind) || name == "" {
		return &InputError{"drain", "target, instance, zone or region and a name", kind + " " + name}
	}
	s, err := open(ctx, c)
	if err != nil {
		return err
	}
	defer s.cancel()
	current, err := s.Get(s.ctx)
	if err != nil {
		return err
	}
	text, err := edit(string(current.GetCatalogue()), kind, name)
	if err != nil {
		return err
	}
	if _, err := cataloguer.Parse("catalogue", []byte(text)); err != nil {
		return err
	}
	return s.apply(&wire.Change{Number: current.GetNumber() + 1, Catalogue: []byte(text)})
}

func drainTitle(kind, name string) string { return "drain " + kind + "-" + name }

func addDrain(text, kind, name string) (string, error) {
	for _, s := range parser.Parse("catalogue", []byte(text)).Sections {
		if s.Title() == drainTitle(kind, name) {
			return "", &InputError{"drain", "something not yet drained", kind + " " + name}
		}
	}
	return strings.TrimRight(text, "\n") + fmt.Sprintf("\n\n[%s]\n%s = %s\n", drainTitle(kind, name), kind, name), nil
}

// removeDrain removes the lines of the drain's section. It edits the text so that all other lines, their comments and
// their order stay unchanged.
func removeDrain(text, kind, name string) (string, error) {
	var kept []string
	inside, found := false, false
	for _, line := range strings.Split(text, "\n") {
		if strings.HasPrefix(line, "[") {
			inside = strings.TrimSpace(line) == "["+drainTitle(kind, name)+"]"
			found = found || inside
		}
		if !inside {
			kept = append(kept, line)
		}
	}
	if !found {
		return "", &InputError{"undrain", "something drained", kind + " " + name}
	}
	return strings.TrimRight(strings.Join(kept, "\n"), "\n") + "\n", nil
}
