package bench

import "bergamotpin.example/bergamotpin/outcome"

// fairness is Jain's index over the organisations of a class. Each
// organisation's share is the tokens of its completed answers, divided by its
// weighted max-min fair share of all these tokens.
func (d *driver) fairness(class int) float64 {
	requested := make([]float64, len(d.workload.Organisations))
	served := make([]float64, len(d.workload.Organisations))
	total := 0.0
	for i := range d.requests {
		r := &d.requests[i]
		if r.class != class || r.phase == phaseNew || r.leaveAfter > 0 {
			continue
		}
		requested[r.organisation] += float64(r.answerTokens)
		if r.final == outcome.Completed {
			served[r.organisation] += float64(r.answerTokens)
			total += float64(r.answerTokens)
		}
	}
	ideal := maxMinShares(requested, d.weights(), total)
	var shares []float64
	for i := range ideal {
		if ideal[i] > 0 {
			shares = append(shares, served[i]/ideal[i])
		}
	}
	return jainIndex(shares)
}

func (d *driver) weights() []float64 {
	weights := make([]float64, len(d.workload.Organisations))
	for i, o := range d.workload.Organisations {
		weights[i] = o.Weight
		if o.Weight == 0 {
			weights[i] = 1
		}
	}
	return weights
}

// maxMinShares divides total among organisations by weight, and gives no
// organisation more than it requested.
func maxMinShares(requested, weights []float64, total float64) []float64 {
	allocated := make([]float64, len(requested))
	for total > 0 {
		openWeight := 0.0
		for i := range requested {
			if allocated[i] < requested[i] {
				openWeight += weights[i]
			}
		}
		if openWeight == 0 {
			break
		}
		capped := false
		perWeight := total / openWeight
		for i := range requested {
			missing := requested[i] - allocated[i]
			if missing > 0 && missing <= perWeight*weights[i] {
				allocated[i] = requested[i]
				total -= missing
				capped = true
			}
		}
		if capped {
			continue
		}
		for i := range requested {
			if allocated[i] < requested[i] {
				allocated[i] += perWeight * weights[i]
			}
		}
		break
	}
	return allocated
}

// jainIndex returns Jain's fairness index: 1 if all shares are equal, and 1/n if
// one of n shares is everything.
func jainIndex(shares []float64) float64 {
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
