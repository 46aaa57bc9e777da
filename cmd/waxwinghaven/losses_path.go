package main

import (
	"fmt"
	"image/color"
	"io"
	"text/tabwriter"
	"time"

	"github.com/waxwinghaven/waxwinghaven/losses"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// pathKinds are the kinds of jobs, as tables and plots list them.
var pathKinds = []losses.Kind{losses.Other, losses.Filling, losses.Standing}

func printPath(out io.Writer, p losses.Path) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "KIND\tSTAGE\tHALF MS\t95 OF 100 MS\tOF")
	for _, k := range pathKinds {
		for _, s := range losses.Stages {
			half, n := p.Quantile(k, s, 0.5)
			most, _ := p.Quantile(k, s, 0.95)
			if n > 0 {
				fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\n", k, s, half.Milliseconds(), most.Milliseconds(), n)
			}
		}
	}
}

// leastDrawn stands for no time at all on a logarithmic axis.
const leastDrawn = time.Millisecond

// pathMarks are the parts that are drawn, the half larger.
var pathMarks = []struct {
	part   float64
	radius vg.Length
}{{0.5, vg.Points(4)}, {0.95, vg.Points(2)}}

// plotPath draws for each kind and stage the time within which half and 95 of 100 were
// through, on a logarithmic axis.
func plotPath(p losses.Path, file string) error {
	drawn := plot.New()
	drawn.Title.Text = "The way of a call: half, and 95 of 100"
	drawn.Y.Label.Text = "milliseconds"
	drawn.Y.Scale, drawn.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	colours := []color.RGBA{{R: 31, G: 119, B: 180, A: 255}, {R: 255, G: 127, B: 14, A: 255}, {R: 44, G: 160, B: 44, A: 255}}
	for i, k := range pathKinds {
		for _, mark := range pathMarks {
			points := make(plotter.XYs, 0, len(losses.Stages))
			for x, s := range losses.Stages {
				if d, n := p.Quantile(k, s, mark.part); n > 0 {
					// The kinds stand side by side.
					points = append(points, plotter.XY{X: float64(x) + 0.15*float64(i-1), Y: float64(max(d, leastDrawn)) / float64(time.Millisecond)})
				}
			}
			if len(points) == 0 {
				continue
			}
			dots, err := plotter.NewScatter(points)
			if err != nil {
				return err
			}
			dots.Color, dots.Radius = colours[i], mark.radius
			drawn.Add(dots)
			if mark.part == 0.5 {
				drawn.Legend.Add(string(k), dots)
			}
		}
	}
	names := make([]string, len(losses.Stages))
	for i, s := range losses.Stages {
		names[i] = string(s)
	}
	drawn.NominalX(names...)
	drawn.Y.Min = 1
	drawn.Legend.Top = true
	return drawn.Save(26*vg.Centimeter, 12*vg.Centimeter, file)
}
