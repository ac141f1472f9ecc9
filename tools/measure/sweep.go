package measure

import (
	"fmt"
	"math"
	"strings"
)

// Sweep holds the figures that the users' benchmark measured on one day at several numbers of nodes, with engines in proportion.
type Sweep struct {
	Commit  string        `json:"commit"`
	Sizes   []float64     `json:"sizes"` // nodes
	Figures []SweepFigure `json:"figures"`
}

// SweepFigure is one figure of a node, measured at each of the sizes.
type SweepFigure struct {
	Name      string    `json:"name"`
	Unit      string    `json:"unit"`
	Middle    []float64 `json:"middle"`
	Busiest   []float64 `json:"busiest"`
	Bound     float64   `json:"bound,omitempty"` // 0 for none
	Mechanism string    `json:"mechanism"`
}

// Numbers of nodes that the page extrapolates the figures to.
const (
	plannedNodes = 410  // expected by the users within two years
	targetNodes  = 1043 // target of the largest deployment
)

// GrowthExponent returns the power of the number of nodes with which values grow, by linear regression of their logarithms; 0 if they do not grow.
func GrowthExponent(sizes, values []float64) float64 {
	n := float64(len(sizes))
	var sumX, sumY, sumXX, sumXY float64
	for i, size := range sizes {
		x, y := math.Log(size), math.Log(values[i])
		sumX, sumY, sumXX, sumXY = sumX+x, sumY+y, sumXX+x*x, sumXY+x*y
	}
	return max((n*sumXY-sumX*sumY)/(n*sumXX-sumX*sumX), 0)
}

// extrapolate extrapolates a row of values to a number of nodes.
func (s *Sweep) extrapolate(values []float64, nodes float64) float64 {
	last := len(s.Sizes) - 1
	return values[last] * math.Pow(nodes/s.Sizes[last], GrowthExponent(s.Sizes, values))
}

// Table returns the sweep's table for docs/CAPACITY.md, with the figures of the middle and the busiest node.
func (s *Sweep) Table() string {
	var b strings.Builder
	b.WriteString("| figure of a node, middle and busiest | unit |")
	for _, size := range s.Sizes {
		fmt.Fprintf(&b, " %g |", size)
	}
	fmt.Fprintf(&b, " power of the busiest | %d | %d | bound | mechanism |\n", plannedNodes, targetNodes)
	b.WriteString(strings.Repeat("| --- ", len(s.Sizes)+7) + "|\n")
	for _, f := range s.Figures {
		fmt.Fprintf(&b, "| %s | %s |", f.Name, f.Unit)
		for i := range s.Sizes {
			fmt.Fprintf(&b, " %.3g, %.3g |", f.Middle[i], f.Busiest[i])
		}
		fmt.Fprintf(&b, " %.2f |", GrowthExponent(s.Sizes, f.Busiest))
		for _, nodes := range []float64{plannedNodes, targetNodes} {
			fmt.Fprintf(&b, " %s, %s |", formatFigure(s.extrapolate(f.Middle, nodes), f.Bound), formatFigure(s.extrapolate(f.Busiest, nodes), f.Bound))
		}
		fmt.Fprintf(&b, " %s | %s |\n", formatBound(f.Bound), f.Mechanism)
	}
	return b.String()
}
