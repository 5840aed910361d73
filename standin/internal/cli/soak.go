package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"chervilrail.example/standin/internal/soaker"
)

const (
	soakLength = time.Minute
	// firstSoakNet is the first of the soakNets loopback networks for soak runs; the seed selects one.
	firstSoakNet = 200
	soakNets     = 50
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run the programs, inject faults generated from a seed, and check the guarantees from outside",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of the first run"},
			&cli.IntFlag{Name: "runs", Value: 1, Usage: "number of consecutive seeds to run"},
			&cli.DurationFlag{Name: "for", Value: soakLength, Usage: "how long faults are injected"},
			&cli.StringFlag{Name: "programs", Value: "bin", Usage: "`FOLDER` with the built programs"},
			&cli.StringFlag{Name: "folder", Value: ".run/soak", Usage: "`FOLDER` for settings, data and logs"},
			&cli.BoolFlag{Name: "quiet", Usage: "do not print the faults"},
		},
		Action: soak,
	}
}

func soak(ctx context.Context, c *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	failedRuns := 0
	for seed := c.Uint64("seed"); seed < c.Uint64("seed")+uint64(c.Int("runs")) && ctx.Err() == nil; seed++ {
		violations, err := soakOnce(ctx, c, seed)
		if err != nil {
			return err
		}
		if violations > 0 {
			failedRuns++
		}
	}
	if failedRuns > 0 {
		return fmt.Errorf("guarantees violated in %d of %d runs", failedRuns, c.Int("runs"))
	}
	return nil
}

func soakOnce(ctx context.Context, c *cli.Command, seed uint64) (int, error) {
	folder, err := filepath.Abs(filepath.Join(c.String("folder"), fmt.Sprint(seed)))
	if err != nil {
		return 0, err
	}
	if err := os.RemoveAll(folder); err != nil {
		return 0, err
	}
	s := &soaker.Soak{
		Seed: seed, Length: c.Duration("for"), Programs: c.String("programs"), Folder: folder,
		Net: byte(firstSoakNet + seed%soakNets),
		Print: func(line string) {
			if !c.Bool("quiet") {
				fmt.Println(line)
			}
		},
	}
	violations, err := s.Run(ctx)
	if err != nil {
		return 0, err
	}
	sent, complete := s.Counts()
	late, served := s.LongWork()
	fmt.Printf("seed %d: %d guarantees violated, %d of %d requests served, %d of %d long ones while an instance left, "+
		"%d lags of plans checked, logs in %s\n", seed, len(violations), complete, sent, served, late, s.LagsChecked(), folder)
	for _, line := range violations {
		fmt.Println("  " + line)
	}
	return len(violations), nil
}
