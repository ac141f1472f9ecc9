package measure

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The letter's bounds for the control of one node.
const (
	BoundBytes  = 14 * 1024.0
	BoundCore   = 1.8
	LetterNodes = 410
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 5 * vg.Inch
	// legendHeight keeps the legend between the lines that are near 0 and the bound.
	legendHeight = 1.2 * vg.Inch
	full         = 100.0
)

// Plot writes a picture of the cost against the number of nodes, as a share of the bounds, to a file whose ending names its form.
func (r *Report) Plot(path string) error {
	p := plot.New()
	p.Title.Text = "Control cost of a node, as a share of its bound"
	p.X.Label.Text = "nodes"
	p.Y.Label.Text = "percent of the bound"
	lines := []any{
		"bytes, store up", shares(r.Find("idle_bytes"), BoundBytes),
		"processor, store up", shares(r.Find("idle_core"), BoundCore),
		"bytes, store down", shares(r.Find("outage_bytes"), BoundBytes),
		"processor, store down", shares(r.Find("outage_core"), BoundCore),
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	bound := plotter.NewFunction(func(float64) float64 { return full })
	bound.Color = color.RGBA{R: 200, A: 255}
	bound.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(bound, plotter.NewGrid())
	p.Legend.Add("bound", bound)
	p.Legend.YOffs = legendHeight
	p.X.Min, p.X.Max = 0, LetterNodes
	p.Y.Min, p.Y.Max = 0, 2*full
	return p.Save(plotWidth, plotHeight, path)
}

// shares returns a series' measured points and the point at the letter's size, as percent of a bound.
func shares(s *Series, bound float64) plotter.XYs {
	var points plotter.XYs
	for _, p := range s.Points {
		points = append(points, plotter.XY{X: p.X, Y: full * p.Y / bound})
	}
	return append(points, plotter.XY{X: LetterNodes, Y: full * s.At(LetterNodes) / bound})
}
