package assembler

import (
	"github.com/magnoliastep/magnoliastep/internal/entry/directory"
	"github.com/magnoliastep/magnoliastep/internal/entry/recorder"
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
		NodeName: name, Messenger: n.messenger, View: n.prober, Local: n.dispatcher, Clock: n.config.Clock,
		Period: t.GetLeafStatusPeriod().AsDuration(),
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
	n.entry = entryserver.New(entryserver.Config{
		Source: n.keeper, Searcher: n.searcher, Submitter: n.submitter,
		Directory: directory.New(directory.Config{
			View: n.prober, Source: n.keeper, KeepFor: t.GetEntriesKeepFor().AsDuration(),
		}),
		Metrics: n.metrics, Logger: n.config.Logger,
		MaxRequestBytes: int64(n.config.Settings.GetCallerLimits().GetMaxRequestBytes()),
	})
}
