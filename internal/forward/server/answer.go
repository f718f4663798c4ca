package server

import (
	"bytes"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/forward/deferrer"
	"github.com/magnoliastep/magnoliastep/internal/forward/gatherer"
	"github.com/magnoliastep/magnoliastep/internal/forward/merger"
	"github.com/magnoliastep/magnoliastep/internal/upstream/exchanger"
)

// head returns the request line and header fields sent to leaves, without the fields that are set for each call.
func (x *exchange) head(bodyBytes int) []byte {
	r := x.request
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.RequestURI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	names := x.server.config.HeaderNames
	exclude := hopByHopFields(r.Header)
	for _, n := range []string{names.TimeLeft, names.LeafID, "Content-Length", "Host", "Expect"} {
		exclude[textproto.CanonicalMIMEHeaderKey(n)] = true
	}
	x.excludeAccount(exclude)
	// Writing to a buffer does not fail.
	_ = r.Header.WriteSubset(&b, exclude)
	if name := x.identity.accountName(); name != "" {
		b.WriteString(names.Account + ": " + name + "\r\n")
	}
	if bodyBytes > 0 || r.ContentLength > 0 || len(r.TransferEncoding) > 0 || r.Method == http.MethodPost ||
		r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(bodyBytes) + "\r\n")
	}
	return b.Bytes()
}

// hopByHopFields returns the names of the hop-by-hop header fields, which are not forwarded.
func hopByHopFields(h http.Header) map[string]bool {
	fields := map[string]bool{
		"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
		"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	}
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			fields[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return fields
}

// write writes the answer for a result, and records the outcome.
func (x *exchange) write(r gatherer.Result) {
	switch r.Outcome {
	case gatherer.OutcomeAnswered:
		if len(x.route.Shards) > 0 {
			x.writeParts(r)
		} else {
			x.writeReply(r.Parts[0])
		}
		x.recordSuccess(r)
	case gatherer.OutcomeNotRun:
		if r.Forbidden {
			x.refuseForbidden(r)
			return
		}
		x.refuse(notRunOutcome(r), notRunReason(r), r)
	case gatherer.OutcomeTimeout:
		x.fail(http.StatusGatewayTimeout, timeoutOutcome(r), r)
	case gatherer.OutcomeCallerGone:
		// A caller that has only ended its own sending direction still waits for the answer.
		x.fail(http.StatusBadGateway, "caller_gone", r)
	case gatherer.OutcomeFailed:
		if r.LeafFailure != nil && len(x.route.Shards) == 0 {
			x.writeReply(r.LeafFailure)
			x.recordOutcome("leaf_failure", r.LeafFailure.Status, r)
			return
		}
		x.fail(http.StatusBadGateway, "failed", r)
	}
}

// recordSuccess counts a success, and logs it if it was partial, retried or late.
func (x *exchange) recordSuccess(r gatherer.Result) {
	outcome := "answered"
	if len(r.Parts) < len(x.services) {
		outcome = "partial"
	}
	if outcome == "partial" || r.Retries > 0 || time.Since(x.arrivedAt) > x.route.TargetLatency {
		x.log(outcome, http.StatusOK, r)
	}
	x.observe(outcome, r)
}

// recordOutcome logs and counts the outcome of a request.
func (x *exchange) recordOutcome(outcome string, status int, r gatherer.Result) {
	x.log(outcome, status, r)
	x.observe(outcome, r)
}

// writeParts writes an answer with the greatest records of all parts.
func (x *exchange) writeParts(r gatherer.Result) {
	records := merger.New(x.route.TopRecords)
	signatures := make([]string, 0, len(r.Parts))
	for _, p := range r.Parts {
		records.Add(p.Body)
		signatures = append(signatures, p.Signature)
	}
	h := x.writer.Header()
	names := x.server.config.HeaderNames
	h.Set(names.RequestID, x.id)
	h.Set(names.PartSignatures, strings.Join(signatures, ", "))
	h.Set(names.MissingParts, strconv.Itoa(len(x.services)-len(r.Parts)))
	h.Set("Content-Type", "application/octet-stream")
	x.writeBody(http.StatusOK, records.Body())
}

// writeReply writes a leaf's answer unchanged.
func (x *exchange) writeReply(r *exchanger.Reply) {
	h := x.writer.Header()
	exclude := hopByHopFields(r.Header)
	for name, values := range r.Header {
		if !exclude[name] && name != "Content-Length" {
			h[name] = values
		}
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // prevents net/http from detecting one
	}
	x.writeBody(r.Status, r.Body)
}

// writeBody writes the answer. A node that is about to stop closes the connection after it.
func (x *exchange) writeBody(status int, body []byte) {
	if x.server.config.Draining() {
		x.writer.Header().Set("Connection", "close")
	}
	if x.request.Method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified {
		x.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.answer = answerBegun
	x.writer.WriteHeader(status)
	x.writeBytes(body)
	x.answer = answerWritten
}

// noRoute answers a request for which there is no route. It answers 404 only if the configuration is known to
// be the newest, because a newer one may have a route for the request.
func (x *exchange) noRoute(version int64) {
	x.version = version
	if !x.server.config.ConfigCurrent() {
		x.refuse("configuration_not_fresh", deferrer.NoConfiguration, gatherer.Result{})
		return
	}
	x.fail(http.StatusNotFound, "no_route", gatherer.Result{})
}

// notRunOutcome names why no leaf ran the request.
func notRunOutcome(r gatherer.Result) string {
	switch {
	case r.OutOfTime:
		return "out_of_time"
	case r.Stopping:
		return "node_stopping"
	case r.Withdrawn > 0:
		return "no_capacity"
	default:
		return "not_run"
	}
}

// notRunReason returns what a request lacked that no leaf has run.
func notRunReason(r gatherer.Result) deferrer.Reason {
	if r.Stopping {
		return deferrer.NodeStopping
	}
	return deferrer.NoCapacity
}

// timeoutOutcome names why a request that may have run was not answered in time.
func timeoutOutcome(r gatherer.Result) string {
	if r.Stopping {
		return "cut_by_stop"
	}
	return "timeout"
}

// refuse answers that the request has not run, and states when to retry.
func (x *exchange) refuse(outcome string, reason deferrer.Reason, r gatherer.Result) {
	refusal := deferrer.Refusal{
		Reason: reason, TimeLeft: x.timeLeft() - time.Since(x.arrivedAt), CapacityIn: r.RetryIn,
	}
	if x.route != nil {
		refusal.Priority = x.priority()
	}
	x.retryAfter = deferrer.RetryAfter(refusal, x.server.config.Random())
	x.writer.Header().Set("Retry-After", strconv.FormatFloat(x.retryAfter.Seconds(), 'f', 3, 64))
	x.fail(http.StatusServiceUnavailable, outcome, r)
}

// fail answers with an error status of this node.
func (x *exchange) fail(status int, outcome string, r gatherer.Result) {
	h := x.writer.Header()
	if x.id != "" {
		h.Set(x.server.config.HeaderNames.RequestID, x.id)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	x.writeBody(status, []byte("stepfront: "+outcome+"\n"))
	x.recordOutcome(outcome, status, r)
}

// observe reports the outcome to the metrics.
func (x *exchange) observe(outcome string, r gatherer.Result) {
	took := time.Since(x.arrivedAt)
	x.server.config.Observe(x.routeName(), outcome, took, r)
	if name := x.identity.accountName(); name != "" && x.server.config.ObserveAccount != nil {
		x.server.config.ObserveAccount(name, outcome, took)
	}
}

// routeName returns the name of the route, or "" if none has been selected.
func (x *exchange) routeName() string {
	if x.route == nil {
		return ""
	}
	return x.route.Name
}

// log writes a log line that tells an on-call engineer why the request ended as it did.
func (x *exchange) log(outcome string, status int, r gatherer.Result) {
	x.server.config.Logger.Info("request", "request_id", x.id, "route", x.routeName(),
		"account", x.identity.accountName(), "outcome", outcome, "status", status, "config_version", x.version,
		"parts", len(r.Parts), "shards", len(x.services),
		"hedges", r.Hedges, "retries", r.Retries, "rejections", r.Rejections, "budget_blocked", r.BudgetBlocked,
		"failed_leaves", strings.Join(r.FailedLeaves, ","), "waiting_for", strings.Join(r.WaitingLeaves, ","),
		"no_leaf", strings.Join(r.ServicesWithoutLeaf, ","), "time_left", x.remaining,
		"withdrawn", r.Withdrawn, "retry_after", x.retryAfter,
		"took", time.Since(x.arrivedAt).Round(time.Microsecond))
}
