package ctl

import (
	"context"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/ibistrail/ibistrail/rpc"
	"github.com/ibistrail/ibistrail/wire"
	"github.com/spf13/cobra"
)

// triesPerCall is how often a call goes round the servers before it gives up.
const triesPerCall = 3

// retryPause is the pause between two rounds.
const retryPause = 300 * time.Millisecond

// readTimeout bounds one steward's answer to a question.
const readTimeout = 5 * time.Second

// client calls stewards, the next one when one does not answer.
type client struct {
	pool *rpc.Pool
	// servers are in the order in which they are tried: the one that answered last comes first.
	servers []string
	token   string
	timeout time.Duration
}

// connect returns a client and a context that ends with --timeout.
func (a *app) connect(ctx context.Context) (context.Context, *client, func(), error) {
	if len(a.servers) == 0 {
		return nil, nil, nil, usageErrorf("name a steward with --server IP:PORT or $"+EnvServer, "no server is given")
	}
	token, err := a.token()
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	c := &client{pool: rpc.NewPool(rpc.Options{}), servers: a.servers, token: token, timeout: a.timeout}
	return ctx, c, func() { cancel(); c.pool.Close() }, nil
}

// remote returns the run function of a command that speaks to stewards.
func (a *app) remote(do func(ctx context.Context, c *client, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		ctx, c, done, err := a.connect(cmd.Context())
		if err != nil {
			return err
		}
		defer done()
		return do(ctx, c, args)
	}
}

func (a *app) token() (string, error) {
	if a.tokenFile == "" {
		return "", usageErrorf("name the file with the operators' token with --token-file or $"+EnvTokenFile, "no token is given")
	}
	data, err := os.ReadFile(a.tokenFile)
	if err != nil {
		return "", &Error{Exit: ExitUsage, Message: "token file", Err: err, Remedy: "name a readable file with --token-file"}
	}
	return strings.TrimSpace(string(data)), nil
}

func (c *client) auth() wire.OperatorParams { return wire.OperatorParams{Token: c.token} }

// call asks the servers in turn until one answers. All methods may be repeated: a change that is
// applied twice is decided once, by its ID.
func (c *client) call(ctx context.Context, method string, params, result any) error {
	var last, answered error // answered says more than a timeout
	for round := range triesPerCall {
		if round > 0 && !pause(ctx, retryPause) {
			break
		}
		for i, s := range c.servers {
			last = c.callOne(ctx, s, method, params, result)
			if last == nil {
				c.servers = append([]string{s}, slices.Delete(slices.Clone(c.servers), i, i+1)...)
				return nil
			}
			if code := rpc.Code(last); code == wire.CodeUnavailable || code == wire.CodeNotReady {
				answered = last
			} else if code != 0 {
				return remoteError(last)
			}
			if ctx.Err() != nil {
				break
			}
		}
	}
	if answered != nil {
		return remoteError(answered)
	}
	return remoteError(last)
}

// callOne leaves time for the other servers.
func (c *client) callOne(ctx context.Context, server, method string, params, result any) error {
	timeout := c.share()
	if method != wire.MethodApply {
		timeout = min(timeout, readTimeout)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.pool.Call(ctx, server, method, params, result)
}

// share is the time that one server gets for one call.
func (c *client) share() time.Duration { return c.timeout / time.Duration(len(c.servers)) }

// pause waits for d and tells whether ctx still runs.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func (c *client) get(ctx context.Context) (*wire.GetResult, error) {
	var r wire.GetResult
	if err := c.call(ctx, wire.MethodGet, c.auth(), &r); err != nil {
		return nil, err
	}
	return &r, nil
}

func (c *client) nodes(ctx context.Context) (*wire.NodesResult, error) {
	var r wire.NodesResult
	if err := c.call(ctx, wire.MethodNodes, c.auth(), &r); err != nil {
		return nil, err
	}
	return &r, nil
}

func envList(name string) []string {
	if v := os.Getenv(name); v != "" {
		return strings.Split(v, ",")
	}
	return nil
}
