package assembler

import (
	"github.com/magnoliastep/magnoliastep/internal/booking/submitter"
	"github.com/magnoliastep/magnoliastep/internal/entry/directory"
	"github.com/magnoliastep/magnoliastep/internal/entry/publisher"
	"github.com/magnoliastep/magnoliastep/internal/entry/searcher"
	entryserver "github.com/magnoliastep/magnoliastep/internal/entry/server"
	"github.com/magnoliastep/magnoliastep/internal/entry/tracker"
	"github.com/magnoliastep/magnoliastep/internal/peer/router"
)

// assembleEntrySide builds what serves callers.
func (n *Node) assembleEntrySide() {
	name := n.config.Settings.GetNodeName()
	t := n.config.Settings.GetTimings()
	n.tracker = tracker.New(tracker.Config{
		NodeName: name, Region: n.config.Settings.GetRegion(), Messenger: n.messenger, View: n.prober,
		Owners: n.placer, Local: n.dispatcher, Clock: n.config.Clock, Period: t.GetLeafStatusPeriod().AsDuration(),
	})
	n.publisher = publisher.New(publisher.Config{
		Local: n.dispatcher, Clock: n.config.Clock, Period: t.GetLeafStatusPeriod().AsDuration(),
		Epoch: n.config.Clock.Now().UnixNano(),
	})
	n.router = router.New(router.Config{NodeName: name, Messenger: n.messenger, Dispatcher: n.dispatcher})
	n.searcher = searcher.New(searcher.Config{
		Source: n.keeper, Owners: n.placer, Statuses: n.tracker, Router: n.router, Clock: n.config.Clock,
		Asserter: n.asserter,
	})
	n.submitter = submitter.New(submitter.Config{
		NodeName: name, Source: n.keeper, View: n.prober, Owners: n.placer, Statuses: n.tracker,
		Router: n.router, Clock: n.config.Clock, Asserter: n.asserter, KeepFor: outcomeKeepFor,
	})
	n.entry = entryserver.New(entryserver.Config{
		Source: n.keeper, Searcher: n.searcher, Submitter: n.submitter,
		Directory: directory.New(directory.Config{
			View: n.prober, Source: n.keeper, KeepFor: t.GetEntriesKeepFor().AsDuration(),
		}),
		Metrics: n.metrics, Logger: n.config.Logger,
		MaxRequestBytes: int64(n.config.Settings.GetCallerLimits().GetMaxRequestBytes()),
	})
}
