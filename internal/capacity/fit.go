package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measured value.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Fit is the line y = Intercept + Slope·x, fitted by least squares.
type Fit struct {
	// Intercept is in the unit of y, Slope in that unit per x.
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// Residual is the standard error of the points around the line, in the unit
	// of y: the root of the sum of squares divided by the points less two.
	Residual float64 `json:"residual"`
}

// At returns the value of the line at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// fitLine fits a line to at least two points. Two points leave no residual.
func fitLine(points []Point) Fit {
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		xs[i], ys[i] = p.X, p.Y
	}
	var f Fit
	f.Intercept, f.Slope = stat.LinearRegression(xs, ys, nil, false)
	sum := 0.0
	for _, p := range points {
		sum += (p.Y - f.At(p.X)) * (p.Y - f.At(p.X))
	}
	if len(points) > 2 {
		f.Residual = math.Sqrt(sum / float64(len(points)-2))
	}
	return f
}
