package messenger

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	// link is the connection that this node opened to one peer, with the calls pending on it.
	link struct {
		messenger *Messenger
		address   string
		// ready is closed when the attempt to connect has ended, successfully or not.
		ready chan struct{}
		// done is closed when the link is closed.
		done      chan struct{}
		closeOnce sync.Once
		// lastUsedAt is when the link was last requested, in nanoseconds since the Unix epoch.
		lastUsedAt atomic.Int64
		session    *yamux.Session
		writers    map[Plane]*writer
		// connectError is set before ready is closed if connecting failed.
		connectError error
		mutex        sync.Mutex
		// pendingCalls holds the calls that wait for a reply; each is delivered at most once.
		pendingCalls map[uint64]ReplyFunc
	}

	// discardLogger discards the log of yamux; the messenger reports link failures as errors of calls.
	discardLogger struct{}
)

func newLink(m *Messenger, address string) *link {
	return &link{
		messenger:    m,
		address:      address,
		ready:        make(chan struct{}),
		done:         make(chan struct{}),
		pendingCalls: map[uint64]ReplyFunc{},
	}
}

func (l *link) isClosed() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// waitConnected waits until the link is connected. It returns ErrNotSent if connecting fails or ctx ends first.
func (l *link) waitConnected(ctx context.Context) error {
	select {
	case <-l.ready:
		if l.connectError != nil {
			return errors.Wrapf(ErrNotSent, "connect to %s: %v", l.address, l.connectError)
		}
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ErrNotSent, "connect to %s: %v", l.address, ctx.Err())
	}
}

func (l *link) connect() {
	streams, err := l.openStreams()
	if err != nil {
		l.connectError = err
		close(l.ready)
		time.Sleep(redialPause) // during the pause, new calls fail with the same error instead of dialing again
		l.close()
		return
	}
	for _, s := range streams {
		go l.readStream(s)
	}
	close(l.ready)
}

func (l *link) openStreams() ([]net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	connection, err := l.messenger.config.Dial(ctx, l.address)
	if err != nil {
		return nil, err
	}
	l.session, err = yamux.Client(connection, sessionConfig())
	if err != nil {
		_ = connection.Close()
		return nil, errors.Wrap(err, "start session")
	}
	l.writers = map[Plane]*writer{}
	streams := make([]net.Conn, 0, 2)
	for _, p := range []Plane{PlaneData, PlaneControl} {
		stream, err := l.session.OpenStream()
		if err != nil {
			_ = l.session.Close()
			return nil, errors.Wrap(err, "open stream")
		}
		l.writers[p] = newWriter(stream, l.messenger)
		streams = append(streams, stream)
	}
	return streams, nil
}

func (l *link) readStream(stream net.Conn) {
	readFrames(stream, l.messenger.config.MaxFrameBytes, l.handleReply)
	l.close()
}

func (l *link) handleReply(f *pb.Frame) {
	l.messenger.config.OnConfigDigest(f.GetFrom(), f.GetConfigDigest())
	l.mutex.Lock()
	deliver := l.pendingCalls[f.GetId()]
	delete(l.pendingCalls, f.GetId())
	l.mutex.Unlock()
	if deliver == nil {
		l.messenger.unmatched.Add(1)
		return
	}
	deliver(f.GetId(), f, nil)
}

// isIdle reports whether the link is connected and no call is pending.
func (l *link) isIdle() bool {
	select {
	case <-l.ready:
	default:
		return false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.pendingCalls) == 0
}

func (l *link) addPendingCalls(ids []uint64, deliver ReplyFunc) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, id := range ids {
		l.pendingCalls[id] = deliver
	}
}

func (l *link) forgetCalls(ids []uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, id := range ids {
		delete(l.pendingCalls, id)
	}
}

func (l *link) write(plane Plane, f *pb.Frame) error {
	if l.isClosed() {
		return errors.Wrapf(ErrNotSent, "link to %s has ended", l.address)
	}
	if !l.writers[plane].enqueue(f) {
		return errors.Wrapf(ErrNotSent, "write queue to %s is full", l.address)
	}
	if l.isClosed() {
		l.failPendingCalls() // the link was closed while the frame was queued, so close has not failed this call
	}
	return nil
}

func (l *link) close() {
	l.closeOnce.Do(func() {
		close(l.done)
		if l.session != nil {
			_ = l.session.Close()
		}
		for _, w := range l.writers {
			w.close()
		}
	})
	l.failPendingCalls()
}

// closeWhenReady closes the link once the attempt to connect has ended, without blocking until then.
func (l *link) closeWhenReady() {
	select {
	case <-l.ready:
		l.close()
	default:
		go func() {
			<-l.ready
			l.close()
		}()
	}
}

// failPendingCalls delivers ErrPeerLost to every pending call.
func (l *link) failPendingCalls() {
	l.mutex.Lock()
	pending := l.pendingCalls
	l.pendingCalls = map[uint64]ReplyFunc{}
	l.mutex.Unlock()
	for id, deliver := range pending {
		deliver(id, nil, errors.Wrapf(ErrPeerLost, "link to %s", l.address))
	}
}

// Print implements yamux.Logger.
func (discardLogger) Print(...any) {}

// Printf implements yamux.Logger.
func (discardLogger) Printf(string, ...any) {}

// Println implements yamux.Logger.
func (discardLogger) Println(...any) {}
