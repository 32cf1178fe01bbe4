package balance

// Claim is what one claimant asks of a capacity.
type Claim struct {
	// Demand is the most that the claimant can use, in the unit of the capacity.
	Demand float64
	// Weight is relative to the weights of the other claims. A claim without a
	// weight gets only what the others leave.
	Weight float64
}

// Shares divides a capacity by weighted max-min fairness: no claim gets more than
// its demand, and the claims that get less than their demand have shares in
// proportion to their weights. The shares are in the order of the claims.
func Shares(capacity float64, claims []Claim) []float64 {
	shares := make([]float64, len(claims))
	left := capacity
	for {
		weights := 0.0
		for n, c := range claims {
			if shares[n] < c.Demand {
				weights += max(c.Weight, 0)
			}
		}
		if weights <= 0 || left <= 0 {
			return shares
		}
		// The claims that need less than their part of what is left are met in
		// full, and the next round divides what they leave. Without such a claim
		// the division is final.
		given, anyMet := 0.0, false
		for n, c := range claims {
			if missing := c.Demand - shares[n]; c.Weight > 0 && missing > 0 && missing <= left*c.Weight/weights {
				shares[n], anyMet = c.Demand, true
				given += missing
			}
		}
		if !anyMet {
			for n, c := range claims {
				if shares[n] < c.Demand && c.Weight > 0 {
					shares[n] = left * c.Weight / weights
				}
			}
			return shares
		}
		left -= given
	}
}
