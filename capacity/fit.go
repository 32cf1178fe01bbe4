package capacity

// Point is one measured value Y at the value X of the variable.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Line is a straight line that is fitted to measurements.
type Line struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// RSquared is the share of the variance that the line explains, 1 at best.
	RSquared float64 `json:"fit"`
}

// FitLine fits a line by least squares. If all points have the same X, it returns
// a flat line at the mean of their Y. Without points it returns a zero Line.
func FitLine(points []Point) Line {
	n := float64(len(points))
	if n == 0 {
		return Line{}
	}
	var sumX, sumY float64
	for _, p := range points {
		sumX += p.X
		sumY += p.Y
	}
	meanX, meanY := sumX/n, sumY/n
	var xx, xy, yy float64
	for _, p := range points {
		dx, dy := p.X-meanX, p.Y-meanY
		xx += dx * dx
		xy += dx * dy
		yy += dy * dy
	}
	if xx == 0 {
		return Line{Intercept: meanY}
	}
	l := Line{Slope: xy / xx, RSquared: 1}
	l.Intercept = meanY - l.Slope*meanX
	if yy > 0 {
		l.RSquared = xy * xy / (xx * yy)
	}
	return l
}

// At returns the line's value at x.
func (l Line) At(x float64) float64 {
	return l.Intercept + l.Slope*x
}
