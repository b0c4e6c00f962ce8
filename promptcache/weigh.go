package promptcache

import "time"

// Parameters of the weighing.
const (
	// fullPatienceShare and noPatienceShare are shares of the time left that the run takes: below the first an item follows its
	// prompt, from the second on only load and speed decide. Estimates of the run time are often far off.
	fullPatienceShare, noPatienceShare = 0.5, 0.85
	// speedNoise is the relative difference of event intervals that is no evidence that one engine is slower than another.
	speedNoise = 0.15
	// spreadTime is the value of an idle engine over a full one to an item whose prompt both hold. It is less than the time to read
	// the shortest shared parts, of 260 tokens.
	spreadTime = 100 * time.Microsecond
	// overflowCost is the cost of an engine whose memory does not hold the prompt and the output beside those of its running requests.
	overflowCost = 1.0
)

// Inputs describes an engine on which an item with a prompt could run. Costs are in units of the item's run time at the shortest
// event interval of the pool: a cost of 0.1 is as bad as a run that takes 10 % longer.
type Inputs struct {
	// Held, Shared and Prompt are tokens of the prompt: those held there, those of the shared parts, and all.
	Held, Shared, Prompt int
	// Output is the expected number of output tokens.
	Output int
	// Free is the number of free tokens of the engine's memory, InUse that of tokens of running requests, of Capacity.
	Free, InUse, Capacity int
	// Running is the number of running requests.
	Running int
	// RunTime is the time that the item takes at the shortest event interval, RunTimeHere that on this engine.
	RunTime, RunTimeHere time.Duration
	// TimeLeft is the time until the item's deadline.
	TimeLeft time.Duration
	// TokensPerMs is the rate at which engines read prompts.
	TokensPerMs float64
	// LoadCost is the cost of the occupied slots, 1 for a full engine. SpeedCost is that of the event interval.
	LoadCost, SpeedCost float64
}

// patience returns how far an item may prefer an engine that holds its prompt, from 0 (time is short) to 1.
func (in *Inputs) patience() float64 {
	return Patience(in.RunTimeHere, in.TimeLeft)
}

// Patience returns how far an item with a run time and a time left has time to spare, from 0 to 1.
func Patience(runTime, timeLeft time.Duration) float64 {
	if timeLeft <= 0 {
		return 0
	}
	share := float64(runTime) / float64(timeLeft)
	return min(1, max(0, (noPatienceShare-share)/(noPatienceShare-fullPatienceShare)))
}

// Cost returns the cost of running the item there. It takes the place of the sum of LoadCost and SpeedCost.
//
// The occupied slots of an engine delay no item while one slot is free; LoadCost spreads the items so that all engines keep free
// slots. An item with time to spare does without that where its prompt is held, so that few engines hold a prompt and their
// memory serves more of them. Reading a prompt costs time to the item, and reading a shared part again to the requests that run there too.
func (in *Inputs) Cost() float64 {
	follow := 0.0
	if in.Shared > 0 {
		follow = in.patience() * min(1, float64(in.Held)/float64(in.Shared))
	}
	cost := (1-follow)*in.LoadCost + in.SpeedCost - follow*min(max(0, in.SpeedCost), speedNoise)
	runTime := max(in.RunTime, time.Millisecond)
	cost += float64(spreadTime) / float64(runTime) * follow * in.LoadCost
	unread := max(0, in.Prompt-in.Held)
	readAgain := max(0, in.Shared-in.Held)
	evicted := min(max(0, unread+in.Output-in.Free), in.Capacity)
	tokens := float64(unread) + float64(readAgain)*float64(in.Running) + float64(evicted)
	cost += tokens / in.TokensPerMs / (float64(runTime) / float64(time.Millisecond))
	if in.InUse+unread+in.Output > in.Capacity {
		cost += overflowCost
	}
	return cost
}
