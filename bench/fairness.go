package bench

import "bergamotpin.example/bergamotpin/outcome"

// fairness is Jain's index over organisations of what each got, as a share of
// what max-min fairness by weight would have given it of the same total.
func (d *driver) fairness(class int) float64 {
	asked := make([]float64, len(d.w.Organisations))
	served := make([]float64, len(d.w.Organisations))
	total := 0.0
	for i := range d.requests {
		r := &d.requests[i]
		if r.class != class || r.phase == phaseNew || r.leaveAfter > 0 {
			continue
		}
		asked[r.organisation] += float64(r.answer)
		if r.final == outcome.Completed {
			served[r.organisation] += float64(r.answer)
			total += float64(r.answer)
		}
	}
	ideal := maxMin(asked, d.weights(), total)
	var shares []float64
	for i := range ideal {
		if ideal[i] > 0 {
			shares = append(shares, served[i]/ideal[i])
		}
	}
	return jain(shares)
}

func (d *driver) weights() []float64 {
	weights := make([]float64, len(d.w.Organisations))
	for i, o := range d.w.Organisations {
		weights[i] = o.Weight
		if o.Weight == 0 {
			weights[i] = 1
		}
	}
	return weights
}

// maxMin divides total by weight, giving none more than it asked for.
func maxMin(asked, weights []float64, total float64) []float64 {
	given := make([]float64, len(asked))
	for total > 0 {
		open := 0.0
		for i := range asked {
			if given[i] < asked[i] {
				open += weights[i]
			}
		}
		if open == 0 {
			break
		}
		capped := false
		unit := total / open
		for i := range asked {
			need := asked[i] - given[i]
			if need > 0 && need <= unit*weights[i] {
				given[i] = asked[i]
				total -= need
				capped = true
			}
		}
		if capped {
			continue
		}
		for i := range asked {
			if given[i] < asked[i] {
				given[i] += unit * weights[i]
			}
		}
		break
	}
	return given
}

// jain is 1 if all shares are equal, and 1/n if one holds everything.
func jain(shares []float64) float64 {
	var sum, squares float64
	for _, s := range shares {
		sum += s
		squares += s * s
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(shares)) * squares)
}
