// Package loopback gives each test IP numbers of its own on the loopback network. A port that a test
// picked and has not opened yet is otherwise taken now and then by a connection of another test.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

// taken counts the numbers that this process gave out.
var taken atomic.Int64

// Host returns an IP number that no other test of this machine uses.
func Host() string {
	n := taken.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%200, 1+(os.Getpid()/200+int(n/200))%250, 1+n%200)
}
