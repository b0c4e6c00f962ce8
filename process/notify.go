package process

// Notify signals a channel that holds one signal at most. It does not block.
func Notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default: // a signal is pending already
	}
}
