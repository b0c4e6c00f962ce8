package targetstate

import (
	"context"
	"time"

	"github.com/ibistrail/ibistrail/targets"
)

// client records the statements in all answers.
type client struct {
	targets.Client
	register *Register
}

// Client returns a client that sends its calls by c and records what the answers state.
func (r *Register) Client(c targets.Client) targets.Client { return &client{c, r} }

// Do implements targets.Client.
func (c *client) Do(ctx context.Context, call *targets.Call) (*targets.Response, error) {
	sentAt := time.Now()
	if _, limited := c.register.RateLimit(call.Instance); limited {
		c.register.events.Add("sends", 1)
	}
	answer, err := c.Client.Do(ctx, call)
	if err == nil {
		c.register.Observe(call.Instance, sentAt, time.Now(), answer)
	}
	return answer, err
}
