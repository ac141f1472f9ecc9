package measure

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The users' bounds for the control work of one node.
const (
	MaxBytesPerSecond = 14 * 1024.0
	MaxCorePercent    = 1.8
)

const (
	plotWidth      = 8 * vg.Inch
	plotHeight     = 5 * vg.Inch
	hundredPercent = 100.0
)

// Plot plots every bounded figure, as a percentage of its bound, against the number of nodes. The file extension selects the image format.
func (s *Sweep) Plot(path string) error {
	p := plot.New()
	p.Title.Text = "Cost of a node with its callers' traffic, as a share of the bound for control"
	p.X.Label.Text = "nodes"
	p.Y.Label.Text = "percent of the bound"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	var lines []any
	for _, f := range s.Figures {
		if f.Bound > 0 {
			lines = append(lines, f.Name+", middle", s.percentOfBound(f.Middle, f.Bound), f.Name+", busiest", s.percentOfBound(f.Busiest, f.Bound))
		}
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	bound := plotter.NewFunction(func(float64) float64 { return hundredPercent })
	bound.Color = color.RGBA{R: 200, A: 255}
	bound.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(bound, plotter.NewGrid())
	p.Legend.Add("bound", bound)
	p.Legend.Top = true
	p.Legend.Left = true
	return p.Save(plotWidth, plotHeight, path)
}

// percentOfBound returns the measured and the extrapolated points, in percent of a bound.
func (s *Sweep) percentOfBound(values []float64, bound float64) plotter.XYs {
	var points plotter.XYs
	for i, size := range s.Sizes {
		points = append(points, plotter.XY{X: size, Y: hundredPercent * values[i] / bound})
	}
	for _, nodes := range []float64{plannedNodes, targetNodes} {
		points = append(points, plotter.XY{X: nodes, Y: hundredPercent * s.extrapolate(values, nodes) / bound})
	}
	return points
}
