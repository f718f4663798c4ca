package messenger

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// minAcceptPause and maxAcceptPause bound the time between two attempts while no connection can be accepted.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// Serve accepts connections from peers until the listener is closed. Any other error, such as too many open files,
// passes: it tries again after a pause.
func (m *Messenger) Serve(listener net.Listener) error {
	pause := time.Duration(0)
	for {
		connection, err := listener.Accept()
		switch {
		case err == nil:
			pause = 0
			go m.serveConnection(connection)
		case errors.Is(err, net.ErrClosed):
			return errors.Wrap(err, "accept peer")
		default:
			pause = min(max(2*pause, minAcceptPause), maxAcceptPause)
			m.config.Logger.Warn("connection of a peer can't be accepted; trying again", "error", err, "pause", pause)
			time.Sleep(pause)
		}
	}
}
