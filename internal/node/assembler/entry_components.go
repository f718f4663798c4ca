package assembler

import (
	"github.com/magnoliastep/magnoliastep/internal/entry/admitter"
	"github.com/magnoliastep/magnoliastep/internal/entry/directory"
	"github.com/magnoliastep/magnoliastep/internal/entry/publisher"
	"github.com/magnoliastep/magnoliastep/internal/entry/recorder"
	"github.com/magnoliastep/magnoliastep/internal/entry/searcher"
	entryserver "github.com/magnoliastep/magnoliastep/internal/entry/server"
	"github.com/magnoliastep/magnoliastep/internal/entry/tallier"
	"github.com/magnoliastep/magnoliastep/internal/entry/tracker"
	"github.com/magnoliastep/magnoliastep/internal/peer/router"
)

// assembleEntrySide constructs the components that serve callers.
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
	n.assembleWitness()
	n.router = router.New(router.Config{
		NodeName: name, Messenger: n.messenger, Dispatcher: n.dispatcher, Witness: n.registrar,
	})
	n.searcher = searcher.New(searcher.Config{
		Source: n.keeper, Owners: n.placer, Statuses: n.tracker, Router: n.router, Clock: n.config.Clock,
		Asserter: n.asserter, Recorder: recorder.New(recorder.Config{Metrics: n.metrics}),
	})
	n.assembleSubmitter()
	n.tallier = tallier.New(tallier.Config{Clock: n.config.Clock, Metrics: n.metrics})
	n.admitter = admitter.New(admitter.Config{
		Source: n.keeper, Demand: n.tallier, Clock: n.config.Clock, Asserter: n.asserter, Metrics: n.metrics,
	})
	n.keeper.AddObserver(n.admitter.Observe)
	n.entry = entryserver.New(entryserver.Config{
		Source: n.keeper, Searcher: n.searcher, Submitter: n.submitter,
		Directory: directory.New(directory.Config{
			View: n.prober, Source: n.keeper, KeepFor: t.GetEntriesKeepFor().AsDuration(),
		}),
		Tallier: n.tallier, Admitter: n.admitter, Asserter: n.asserter, Clock: n.config.Clock,
		Metrics: n.metrics, Logger: n.config.Logger,
		MaxRequestBytes: int64(n.config.Settings.GetCallerLimits().GetMaxRequestBytes()),
		MaxInProgress:   int(n.config.Settings.GetCallerLimits().GetMaxInProgress()),
	})
}
