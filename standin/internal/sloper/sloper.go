// Package sloper measures how the cost of each part grows with its size, and fits a line to the results.
package sloper

import (
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Series is one quantity measured at several sizes.
type Series struct {
	Name string
	// Unit is the unit of the values, Per what the size counts.
	Unit string
	Per  string
	// Sizes and Values have the same length: Values[i] was measured at Sizes[i].
	Sizes  []float64
	Values []float64
}

// Fit returns the intercept and slope of the fitted line, and its R²: the share of the variation that it explains.
func (s *Series) Fit() (intercept, slope, rSquared float64) {
	intercept, slope = stat.LinearRegression(s.Sizes, s.Values, nil, false)
	return intercept, slope, stat.RSquared(s.Sizes, s.Values, nil, intercept, slope)
}

func (s *Series) add(size int, value float64) {
	s.Sizes = append(s.Sizes, float64(size))
	s.Values = append(s.Values, value)
}

// Run measures every series and writes the results to out as a table in Markdown.
func Run(out io.Writer) error {
	fmt.Fprintf(out, "machine: %d cores, %s/%s, %s\n\n", runtime.NumCPU(), runtime.GOOS, runtime.GOARCH, runtime.Version())
	const padding = 1
	t := tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
	fmt.Fprintln(t, "| what\t| unit\t| per\t| sizes\t| values\t| start\t| slope\t| R²\t|")
	fmt.Fprintln(t, "|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
	for _, measure := range measures() {
		for _, s := range measure() {
			intercept, slope, rSquared := s.Fit()
			fmt.Fprintf(t, "| %s\t| %s\t| %s\t| %s\t| %s\t| %.3g\t| %.4g\t| %.3f\t|\n",
				s.Name, s.Unit, s.Per, formatValues(s.Sizes), formatValues(s.Values), intercept, slope, rSquared)
		}
	}
	return t.Flush()
}

func formatValues(values []float64) string {
	text := ""
	for i, v := range values {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%.4g", v)
	}
	return text
}

// minTime returns the mean time of a call in the fastest of several rounds.
func minTime(rounds, calls int, run func()) time.Duration {
	shortest := time.Duration(1 << 62)
	for range rounds {
		start := time.Now()
		for range calls {
			run()
		}
		shortest = min(shortest, time.Since(start)/time.Duration(calls))
	}
	return shortest
}

// heapGrowth returns by how many bytes the heap in use grows with the result of build.
func heapGrowth(build func() any) float64 {
	before := heapInUse()
	kept := build()
	after := heapInUse()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
