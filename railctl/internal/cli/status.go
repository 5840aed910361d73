package cli

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"

	"chervilrail.example/core/wire"
)

const watchPause = 50 * time.Millisecond

func watchCommand() *cli.Command {
	return &cli.Command{
		Name:      "watch",
		Usage:     "wait until a change number is in force on every entry instance",
		ArgsUsage: "[NUMBER]",
		Flags:     []cli.Flag{&cli.UintFlag{Name: "number", Usage: "by default the number in force at the controllers"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := open(ctx, c)
			if err != nil {
				return err
			}
			defer s.cancel()
			number := uint64(c.Uint("number"))
			if number == 0 {
				current, err := s.Get(s.ctx)
				if err != nil {
					return err
				}
				number = current.GetNumber()
			}
			return s.watch(number)
		},
	}
}

// watch waits until every entry instance has confirmed the number or lost its lease; without a lease it refuses
// requests. It returns a *NotInForceError on timeout.
func (s *session) watch(number uint64) error {
	start := time.Now()
	for {
		status, err := s.Status(s.ctx)
		if err != nil {
			return err
		}
		pending := unconfirmed(status, number)
		if status.GetSettled() && len(pending) == 0 && status.GetNumber() >= number {
			return s.inForce(status, number, time.Since(start))
		}
		select {
		case <-s.ctx.Done():
			return &NotInForceError{Number: number, Instances: pending}
		case <-time.After(watchPause):
		}
	}
}

func unconfirmed(status *wire.StatusResponse, number uint64) []string {
	var out []string
	for _, instance := range status.GetNodes() {
		if !instance.GetLost() && instance.GetNumber() < number {
			out = append(out, instance.GetName())
		}
	}
	return out
}

func (s *session) inForce(status *wire.StatusResponse, number uint64, elapsed time.Duration) error {
	value := struct {
		Number  uint64        `json:"number"`
		Waited  time.Duration `json:"waited"`
		Lost    []string      `json:"lost,omitempty"`
		Members int           `json:"members"`
	}{Number: number, Waited: elapsed}
	for _, instance := range status.GetNodes() {
		if instance.GetLost() {
			value.Lost = append(value.Lost, instance.GetName())
			continue
		}
		value.Members++
	}
	text := fmt.Sprintf("number %d is in force on %d entry instances after %s\n", number, value.Members,
		elapsed.Round(time.Millisecond))
	if len(value.Lost) > 0 {
		text += "no lease, refusing work: " + strings.Join(value.Lost, ", ") + "\n"
	}
	return s.print(value, text)
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show controllers, entry instances and limits",
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := open(ctx, c)
			if err != nil {
				return err
			}
			defer s.cancel()
			status, err := s.Status(s.ctx)
			if err != nil {
				return err
			}
			if s.json {
				data, err := protojson.Marshal(status)
				if err != nil {
					return err
				}
				_, err = fmt.Fprintln(s.out, string(data))
				return err
			}
			return s.printTable(status)
		},
	}
}

func (s *session) printTable(status *wire.StatusResponse) error {
	const padding = 2
	t := tabwriter.NewWriter(s.out, 0, 0, padding, ' ', 0)
	fmt.Fprintf(t, "number\t%d\tleader\t%s\tcommit\t%d\tclaims\t%d\n\n",
		status.GetNumber(), status.GetLeader(), status.GetCommit(), status.GetClaims())
	fmt.Fprintln(t, "CONTROLLER\tADDRESS\tROLE\tSTORED\tSTATE")
	for _, r := range status.GetReplicas() {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\n", r.GetName(), r.GetAddress(), role(r), r.GetMatch(),
			choose(r.GetSilent(), "silent", "ok"))
	}
	fmt.Fprintln(t, "\nENTRY\tADDRESS\tREGION\tZONE\tNUMBER\tSTATE")
	for _, instance := range status.GetNodes() {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%s\n", instance.GetName(), instance.GetCaller(), instance.GetRegion(),
			instance.GetZone(), instance.GetNumber(),
			choose(instance.GetLost(), "lost", choose(instance.GetLeaving(), "leaving", "ok")))
	}
	fmt.Fprintln(t, "\nLIMIT\tCAP\tGRANTED")
	for _, l := range status.GetLimits() {
		fmt.Fprintf(t, "%s\t%d\t%d\n", l.GetResource(), l.GetCap(), l.GetOutstanding())
	}
	return t.Flush()
}

func role(r *wire.ReplicaStatus) string {
	return choose(r.GetLeader(), "leader", choose(r.GetVoter(), "voter", "learner"))
}

func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}
