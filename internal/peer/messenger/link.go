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
	// link is the connection that this node opened to one peer.
	link struct {
		messenger *Messenger
		address   string
		// ready is closed when connecting has ended, with or without success.
		ready chan struct{}
		// done is closed when the link has ended.
		done      chan struct{}
		closeOnce sync.Once
		// usedAt is when the link was last asked for, in nanoseconds since the Unix epoch.
		usedAt  atomic.Int64
		session *yamux.Session
		writers map[Plane]*writer
		// failure is set before ready is closed when connecting failed.
		failure error
		mutex   sync.Mutex
		// open has the calls that wait for a reply; each is delivered at most once.
		open map[uint64]Deliver
	}

	// discardLogger drops what yamux logs; link failures are reported by the messenger itself.
	discardLogger struct{}
)

func newLink(m *Messenger, address string) *link {
	return &link{
		messenger: m,
		address:   address,
		ready:     make(chan struct{}),
		done:      make(chan struct{}),
		open:      map[uint64]Deliver{},
	}
}

func (l *link) ended() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// wait returns when the link is connected, or with ErrNotSent.
func (l *link) wait(ctx context.Context) error {
	select {
	case <-l.ready:
		if l.failure != nil {
			return errors.Wrapf(ErrNotSent, "connect to %s: %v", l.address, l.failure)
		}
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ErrNotSent, "connect to %s: %v", l.address, ctx.Err())
	}
}

func (l *link) connect() {
	streams, err := l.openStreams()
	if err != nil {
		l.failure = err
		close(l.ready)
		time.Sleep(redialPause) // callers get the same failure until the pause is over
		l.close()
		return
	}
	for _, s := range streams {
		go l.read(s)
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

func (l *link) read(stream net.Conn) {
	readFrames(stream, l.receive)
	l.close()
}

func (l *link) receive(f *pb.Frame) {
	l.messenger.config.ObserveDigest(f.GetFrom(), f.GetConfigDigest())
	l.mutex.Lock()
	deliver := l.open[f.GetId()]
	delete(l.open, f.GetId())
	l.mutex.Unlock()
	if deliver == nil {
		l.messenger.unmatched.Add(1)
		return
	}
	deliver(f.GetId(), f, nil)
}

// idle tells whether the link is connected and no call waits for a reply.
func (l *link) idle() bool {
	select {
	case <-l.ready:
	default:
		return false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.open) == 0
}

func (l *link) expect(ids []uint64, deliver Deliver) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, id := range ids {
		l.open[id] = deliver
	}
}

func (l *link) forget(ids []uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, id := range ids {
		delete(l.open, id)
	}
}

func (l *link) write(plane Plane, f *pb.Frame) error {
	if l.ended() {
		return errors.Wrapf(ErrNotSent, "link to %s has ended", l.address)
	}
	if !l.writers[plane].enqueue(f) {
		return errors.Wrapf(ErrNotSent, "write queue to %s is full", l.address)
	}
	if l.ended() {
		l.failOpen() // the link ended while the frame was queued; nobody else delivers the failure
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
	l.failOpen()
}

// closeWhenReady closes the link after the attempt to connect has ended; it does not wait for that.
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

// failOpen delivers ErrPeerLost to every open call.
func (l *link) failOpen() {
	l.mutex.Lock()
	open := l.open
	l.open = map[uint64]Deliver{}
	l.mutex.Unlock()
	for id, deliver := range open {
		deliver(id, nil, errors.Wrapf(ErrPeerLost, "link to %s", l.address))
	}
}

// Print implements yamux.Logger.
func (discardLogger) Print(...any) {}

// Printf implements yamux.Logger.
func (discardLogger) Printf(string, ...any) {}

// Println implements yamux.Logger.
func (discardLogger) Println(...any) {}
