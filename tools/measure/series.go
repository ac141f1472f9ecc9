package measure

import (
	"cmp"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is the cost measured at one size.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Series is a cost measured at three or more sizes, with a line fitted to it.
type Series struct {
	Name      string  `json:"name"`
	X         string  `json:"x"` // what the size counts
	Y         string  `json:"y"` // what the cost is, with its unit
	Points    []Point `json:"points"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	R2        float64 `json:"r2"`     // coefficient of determination: the share of the variance that the line explains
	Spread    float64 `json:"spread"` // largest distance from the line, relative to the largest cost
}

// fit fits a line to the points.
func (s *Series) fit() {
	xs, ys := make([]float64, len(s.Points)), make([]float64, len(s.Points))
	maxCost := 0.0
	for i, p := range s.Points {
		xs[i], ys[i] = p.X, p.Y
		maxCost = max(maxCost, math.Abs(p.Y))
	}
	s.Intercept, s.Slope = stat.LinearRegression(xs, ys, nil, false)
	s.R2 = stat.RSquared(xs, ys, nil, s.Intercept, s.Slope)
	if math.IsNaN(s.R2) || math.IsInf(s.R2, 0) {
		s.R2 = 0
	}
	for _, p := range s.Points {
		s.Spread = max(s.Spread, math.Abs(p.Y-s.At(p.X))/cmp.Or(maxCost, 1))
	}
	s.roundValues()
}

// significantDigits is the number of digits that values are rounded to.
const significantDigits = 4

func (s *Series) roundValues() {
	for i := range s.Points {
		s.Points[i].Y = roundSignificant(s.Points[i].Y)
	}
	s.Intercept, s.Slope, s.R2, s.Spread = roundSignificant(s.Intercept), roundSignificant(s.Slope), roundSignificant(s.R2), roundSignificant(s.Spread)
}

func roundSignificant(v float64) float64 {
	if v == 0 {
		return 0
	}
	scale := math.Pow(10, significantDigits-math.Ceil(math.Log10(math.Abs(v))))
	return math.Round(v*scale) / scale
}

// At returns the cost that the line predicts for a size.
func (s *Series) At(x float64) float64 { return s.Intercept + s.Slope*x }

// Report holds the results of one run of all measurements.
type Report struct {
	Series []Series `json:"series"`
}

// Find returns the series with the given name, or an empty one.
func (r *Report) Find(name string) *Series {
	for i := range r.Series {
		if r.Series[i].Name == name {
			return &r.Series[i]
		}
	}
	return &Series{}
}
