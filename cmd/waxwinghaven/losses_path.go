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

// pathKinds lists the kinds of jobs in the order of tables and plots.
var pathKinds = []losses.Kind{losses.Other, losses.Filling, losses.Standing}

func printPath(out io.Writer, p losses.Path) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "KIND\tSTAGE\tMEDIAN MS\tP95 MS\tCOUNT")
	for _, k := range pathKinds {
		for _, s := range losses.Stages {
			median, n := p.Quantile(k, s, 0.5)
			p95, _ := p.Quantile(k, s, 0.95)
			if n > 0 {
				fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\n", k, s, median.Milliseconds(), p95.Milliseconds(), n)
			}
		}
	}
}

// minDrawn is drawn for shorter times, since a logarithmic axis has no zero.
const minDrawn = time.Millisecond

// drawnQuantiles lists the quantiles that are drawn, the median with larger marks.
var drawnQuantiles = []struct {
	part   float64
	radius vg.Length
}{{0.5, vg.Points(4)}, {0.95, vg.Points(2)}}

// plotPath draws the median and the 95th percentile of each kind and stage on a logarithmic
// axis.
func plotPath(p losses.Path, file string) error {
	chart := plot.New()
	chart.Title.Text = "Latency of a call by stage: median and 95th percentile"
	chart.Y.Label.Text = "milliseconds"
	chart.Y.Scale, chart.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	colours := []color.RGBA{{R: 31, G: 119, B: 180, A: 255}, {R: 255, G: 127, B: 14, A: 255}, {R: 44, G: 160, B: 44, A: 255}}
	for i, k := range pathKinds {
		for _, mark := range drawnQuantiles {
			points := make(plotter.XYs, 0, len(losses.Stages))
			for x, s := range losses.Stages {
				if d, n := p.Quantile(k, s, mark.part); n > 0 {
					// The kinds are drawn side by side.
					points = append(points, plotter.XY{X: float64(x) + 0.15*float64(i-1), Y: float64(max(d, minDrawn)) / float64(time.Millisecond)})
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
			chart.Add(dots)
			if mark.part == 0.5 {
				chart.Legend.Add(string(k), dots)
			}
		}
	}
	names := make([]string, len(losses.Stages))
	for i, s := range losses.Stages {
		names[i] = string(s)
	}
	chart.NominalX(names...)
	chart.Y.Min = 1
	chart.Legend.Top = true
	return chart.Save(26*vg.Centimeter, 12*vg.Centimeter, file)
}
