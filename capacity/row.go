package capacity

// Row is one quantity of a role, measured for several values of one variable.
type Row struct {
	Role     string `json:"role"`
	Quantity string `json:"quantity"`
	Unit     string `json:"unit"`
	Variable string `json:"variable"`
	// Fixed describes what was kept constant while the variable changed.
	Fixed  string  `json:"fixed"`
	Points []Point `json:"points"`
	Line
}

// Rows collects rows, in the order of their first points.
type Rows struct {
	list []Row
}

// series is a group of measurements of one role in which one variable changes.
type series struct {
	rows     *Rows
	role     string
	variable string
	fixed    string
}

// add adds one measurement of a quantity to its row.
func (s series) add(quantity, unit string, x, y float64) {
	for i := range s.rows.list {
		r := &s.rows.list[i]
		if r.Role == s.role && r.Quantity == quantity && r.Unit == unit && r.Variable == s.variable && r.Fixed == s.fixed {
			r.Points = append(r.Points, Point{x, y})
			r.Line = FitLine(r.Points)
			return
		}
	}
	r := Row{
		Role: s.role, Quantity: quantity, Unit: unit,
		Variable: s.variable, Fixed: s.fixed, Points: []Point{{x, y}},
	}
	r.Line = FitLine(r.Points)
	s.rows.list = append(s.rows.list, r)
}

// List returns the rows.
func (r *Rows) List() []Row {
	return r.list
}
