package routing

// Bounds of heat.
const (
	// heatWindow is the number of prompts after which counts are halved.
	heatWindow = 1024
	// heatMinimum is the number of prompts from which on shares mean something.
	heatMinimum = 32
	// sharingGain is the weight of a new prompt in the share of prompts with a known beginning.
	sharingGain = 0.05
	// sharingShare is that share from which on an unknown beginning is expected to come again.
	sharingShare = 0.25
)

// heat counts the prefixes of recent prompts.
type heat struct {
	counts  map[uint64]float64
	total   float64
	sharing float64
}

// note counts a prompt.
func (h *heat) note(prefixes []uint64) {
	if len(prefixes) == 0 {
		return
	}
	if h.counts == nil {
		h.counts = map[uint64]float64{}
	}
	known := 0.0
	if h.counts[prefixes[0]] > 0 {
		known = 1
	}
	h.sharing += sharingGain * (known - h.sharing)
	for _, p := range prefixes {
		h.counts[p]++
	}
	if h.total++; h.total >= heatWindow {
		h.halve()
	}
}

func (h *heat) halve() {
	h.total /= 2
	for p, n := range h.counts {
		if n < 2 {
			delete(h.counts, p)
			continue
		}
		h.counts[p] = n / 2
	}
}

// key returns which of a prompt's prefixes names its place: the shortest that is not so common
// that one of n targets could not bear it. It returns -1 for a prompt whose beginning is not shared.
func (h *heat) key(prefixes []uint64, n int) int {
	if len(prefixes) == 0 || h.counts[prefixes[0]] == 0 && h.sharing < sharingShare {
		return -1
	}
	i := 0
	for i+1 < len(prefixes) && h.total >= heatMinimum && h.counts[prefixes[i]]*float64(n) > h.total {
		i++
	}
	return i
}
