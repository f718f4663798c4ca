// Package checker validates the settings of a node after they were decoded. It returns one line for each invalid
// field, which begins with the path of the field. A missing field is valid if package filler has a default for it.
package checker

import (
	"crypto/tls"
	"fmt"
	"log/slog"
	"net/netip"
	"net/url"
	"regexp"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

const (
	hashPattern   = `^[0-9a-f]{64}$`
	namePattern   = `^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`
	maxTiming     = time.Hour
	minLimitBytes = 256
)

type (
	// findings collects the errors in the settings of one node.
	findings struct {
		fieldErrors []string
		nameRegexp  *regexp.Regexp
		hashRegexp  *regexp.Regexp
	}
)

// Check returns one line for each invalid field.
func Check(s *pb.NodeSettings) []string {
	k := &findings{nameRegexp: regexp.MustCompile(namePattern), hashRegexp: regexp.MustCompile(hashPattern)}
	k.checkNames(s)
	k.checkAddresses(s)
	k.checkPlatform(s)
	k.checkTLS(s.GetTls())
	k.checkLimits(s.GetCallerLimits())
	k.checkTimings(s.GetTimings())
	k.checkLogLevel(s.GetLogLevel())
	return k.fieldErrors
}

func (k *findings) checkNames(s *pb.NodeSettings) {
	for _, f := range []struct{ path, name string }{
		{"node_name", s.GetNodeName()},
		{"availability_zone", s.GetAvailabilityZone()},
		{"region", s.GetRegion()},
	} {
		if !k.nameRegexp.MatchString(f.name) {
			k.add(f.path, "must have 1 to 63 of a to z, 0 to 9 and -, not %q", f.name)
		}
	}
	if h := s.GetBootstrapCredentialHash(); h != "" && !k.hashRegexp.MatchString(h) {
		k.add("bootstrap_credential_hash", "must be a lower-case hex SHA-256 (64 digits), not %q", h)
	}
}

func (k *findings) checkAddresses(s *pb.NodeSettings) {
	seen := map[string]string{}
	for _, f := range []struct{ path, address string }{
		{"caller_address", s.GetCallerAddress()},
		{"operator_address", s.GetOperatorAddress()},
		{"peer_address", s.GetPeerAddress()},
	} {
		k.checkAddress(f.path, f.address)
		if other := seen[f.address]; other != "" && f.address != "" {
			k.add(f.path, "must differ from %s", other)
		}
		seen[f.address] = f.path
	}
	for i, a := range s.GetSeedPeers() {
		k.checkAddress(fmt.Sprintf("seed_peers[%d]", i), a)
	}
}

func (k *findings) checkAddress(path, address string) {
	if a, err := netip.ParseAddrPort(address); err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		k.add(path, "must be IP:port, not %q", address)
	}
}

func (k *findings) checkPlatform(s *pb.NodeSettings) {
	if len(s.GetPlatformUrls()) == 0 {
		k.add("platform_urls", "must name at least one")
	}
	for i, text := range s.GetPlatformUrls() {
		u, err := url.Parse(text)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			k.add(fmt.Sprintf("platform_urls[%d]", i), "must be a URL beginning with http:// or https://, not %q", text)
		}
	}
}

func (k *findings) checkTLS(t *pb.TLSSettings) {
	if t == nil {
		return
	}
	if _, err := tls.LoadX509KeyPair(t.GetCertificateFile(), t.GetKeyFile()); err != nil {
		k.add("tls", "must name a certificate and its key: %v", err)
	}
}

func (k *findings) checkLimits(l *pb.CallerLimits) {
	if n := l.GetMaxRequestBytes(); n != 0 && n < minLimitBytes {
		k.add("caller_limits.max_request_bytes", "must be at least %d, not %d", minLimitBytes, n)
	}
	if n := l.GetMaxLeafAnswerBytes(); n != 0 && n < minLimitBytes {
		k.add("caller_limits.max_leaf_answer_bytes", "must be at least %d, not %d", minLimitBytes, n)
	}
}

// checkTimings checks every duration that is set. It uses reflection, so that it covers all fields of the schema.
func (k *findings) checkTimings(t *pb.Timings) {
	t.ProtoReflect().Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		if f.Message() == nil {
			return true
		}
		d, ok := v.Message().Interface().(*durationpb.Duration)
		if ok && (!d.IsValid() || d.AsDuration() <= 0 || d.AsDuration() > maxTiming) {
			k.add("timings."+string(f.Name()), "must be above 0 and at most %v", maxTiming)
		}
		return true
	})
}

func (k *findings) checkLogLevel(level string) {
	var l slog.Level
	if level != "" && l.UnmarshalText([]byte(level)) != nil {
		k.add("log_level", "must be debug, info, warn or error, not %q", level)
	}
}

func (k *findings) add(path, format string, arguments ...any) {
	k.fieldErrors = append(k.fieldErrors, path+": "+fmt.Sprintf(format, arguments...))
}
