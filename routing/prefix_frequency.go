package routing

// Estimation of prefix frequencies.
const (
	// frequencyWindow is the number of prompts after which all counts are halved, so that old prompts lose weight.
	frequencyWindow = 1024
	// frequencyMinPrompts is the number of prompts below which a prefix's share of the prompts isn't used.
	frequencyMinPrompts = 32
	// sharedShareGain is the weight of a new prompt in the moving average prefixFrequency.sharedShare.
	sharedShareGain = 0.05
	// sharedShareThreshold is the sharedShare from which on a prefix seen for the first time is expected to recur.
	sharedShareThreshold = 0.25
)

// prefixFrequency counts the prefixes of recent prompts.
type prefixFrequency struct {
	counts map[uint64]float64
	total  float64
	// sharedShare is the moving average of the share of prompts whose shortest prefix was already known.
	sharedShare float64
}

// record counts the prefixes of a prompt.
func (f *prefixFrequency) record(prefixes []uint64) {
	if len(prefixes) == 0 {
		return
	}
	if f.counts == nil {
		f.counts = map[uint64]float64{}
	}
	shared := 0.0
	if f.counts[prefixes[0]] > 0 {
		shared = 1
	}
	f.sharedShare += sharedShareGain * (shared - f.sharedShare)
	for _, p := range prefixes {
		f.counts[p]++
	}
	if f.total++; f.total >= frequencyWindow {
		f.halve()
	}
}

func (f *prefixFrequency) halve() {
	f.total /= 2
	for p, n := range f.counts {
		if n < 2 {
			delete(f.counts, p)
			continue
		}
		f.counts[p] = n / 2
	}
}

// placementIndex returns the index of the prefix that decides where a prompt is placed: the shortest one whose share of
// the prompts is at most 1/n, so that one of n targets can serve it, or else the longest. It returns -1 if the prompt's
// beginning isn't shared with others.
func (f *prefixFrequency) placementIndex(prefixes []uint64, n int) int {
	if len(prefixes) == 0 || f.counts[prefixes[0]] == 0 && f.sharedShare < sharedShareThreshold {
		return -1
	}
	i := 0
	for i+1 < len(prefixes) && f.total >= frequencyMinPrompts && f.counts[prefixes[i]]*float64(n) > f.total {
		i++
	}
	return i
}
