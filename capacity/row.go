package capacity

// Row is one quantity of a role, measured against one variable.
type Row struct {
	Role     string `json:"role"`
	Quantity string `json:"quantity"`
	Unit     string `json:"unit"`
	Variable string `json:"variable"`
	// Fixed says what was held while the variable changed.
	Fixed  string  `json:"fixed"`
	Points []Point `json:"points"`
	Line
}

// Rows gathers measurements, in the order of their first points.
type Rows struct {
	list []Row
}

// series is where one variable changes for one role.
type series struct {
	rows     *Rows
	role     string
	variable string
	fixed    string
}

// add notes one measurement of a quantity.
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
