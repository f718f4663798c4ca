package checker_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/settings/checker"
)

func validSettings() *pb.NodeSettings {
	return &pb.NodeSettings{
		NodeName: "node-1", AvailabilityZone: "a", Region: "r",
		CallerAddress: "10.0.0.1:7400", OperatorAddress: "10.0.0.1:7200", PeerAddress: "10.0.0.1:7300",
		PlatformUrls: []string{"http://10.0.0.2:7000"},
	}
}

func TestCheckAcceptsValidSettings(t *testing.T) {
	is.New(t).Equal(checker.Check(validSettings()), nil)
}

func TestCheckNamesEachInvalidField(t *testing.T) {
	cases := map[string]func(s *pb.NodeSettings){
		"node_name":                       func(s *pb.NodeSettings) { s.NodeName = "" },
		"availability_zone":               func(s *pb.NodeSettings) { s.AvailabilityZone = "A" },
		"region":                          func(s *pb.NodeSettings) { s.Region = "" },
		"caller_address":                  func(s *pb.NodeSettings) { s.CallerAddress = "0.0.0.0:7400" },
		"operator_address":                func(s *pb.NodeSettings) { s.OperatorAddress = s.GetCallerAddress() },
		"peer_address":                    func(s *pb.NodeSettings) { s.PeerAddress = "10.0.0.1" },
		"platform_urls":                   func(s *pb.NodeSettings) { s.PlatformUrls = nil },
		"platform_urls[0]":                func(s *pb.NodeSettings) { s.PlatformUrls = []string{"10.0.0.2:7000"} },
		"bootstrap_credential_hash":       func(s *pb.NodeSettings) { s.BootstrapCredentialHash = "token" },
		"tls":                             func(s *pb.NodeSettings) { s.Tls = &pb.TLSSettings{CertificateFile: "none"} },
		"caller_limits.max_request_bytes": func(s *pb.NodeSettings) { s.CallerLimits = &pb.CallerLimits{MaxRequestBytes: 1} },
		"timings.tenure":                  func(s *pb.NodeSettings) { s.Timings = &pb.Timings{Tenure: durationpb.New(0)} },
		"timings.probe_period": func(s *pb.NodeSettings) {
			s.Timings = &pb.Timings{ProbePeriod: durationpb.New(2 * time.Hour)}
		},
		"log_level":     func(s *pb.NodeSettings) { s.LogLevel = "loud" },
		"seed_peers[0]": func(s *pb.NodeSettings) { s.SeedPeers = []string{"node-2"} },
	}
	for path, invalidate := range cases {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			s := validSettings()
			invalidate(s)
			fieldErrors := checker.Check(s)
			is.Equal(len(fieldErrors), 1)
			is.True(strings.HasPrefix(fieldErrors[0], path+": "))
		})
	}
}
