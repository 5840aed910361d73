package placer

// warmProbabilities are the probabilities that an object without a known host is warm at its hosts by hash, the first
// one first: nearly all requests for it go there.
var warmProbabilities = [...]float64{0.9, 0.4, 0.2}

// warmProbability is the probability that the host of a rank, from 0, has an object warm; rank -1 is a target that is
// none of the object's hosts.
func warmProbability(rank int) float64 {
	if rank < 0 {
		return 0
	}
	return warmProbabilities[min(rank, len(warmProbabilities)-1)]
}
