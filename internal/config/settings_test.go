package config

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

func parseSettings(t *testing.T, environment map[string]string, args ...string) Settings {
	t.Helper()
	for name, value := range environment {
		t.Setenv(name, value)
	}
	s := Default()
	command := &cli.Command{Flags: Flags(&s), Action: func(context.Context, *cli.Command) error { return nil }}
	if err := command.Run(context.Background(), append([]string{"test"}, args...)); err != nil {
		t.Fatal(err)
	}
	return s
}

func TestFlagOverridesEnvironmentAndDefault(t *testing.T) {
	s := parseSettings(t, map[string]string{
		"FILBERTCROSS_LEASE_LEAD": "20s",
		"FILBERTCROSS_HEARTBEAT":  "1s",
	}, "--lease-lead", "40s", "--failure-domain", "bg-south-1")
	if s.LeaseLead != 40*time.Second {
		t.Errorf("lease lead %v, want the flag's 40s", s.LeaseLead)
	}
	if s.Heartbeat != time.Second {
		t.Errorf("heartbeat %v, want the environment's 1s", s.Heartbeat)
	}
	if s.StoreTimeout != Default().StoreTimeout {
		t.Errorf("store timeout %v, want the default", s.StoreTimeout)
	}
	if err := s.Validate(); err != nil {
		t.Error(err)
	}
}

func TestValidateReportsAllProblems(t *testing.T) {
	s := parseSettings(t, nil, "--http-address", "8080", "--store-url", "store", "--lease-lead", "1s", "--log-level", "loud")
	var problems Problems
	if !errors.As(s.Validate(), &problems) {
		t.Fatal("want Problems")
	}
	found := map[string]bool{}
	for _, p := range problems {
		found[p.Flag] = true
	}
	for _, flag := range []string{"--failure-domain", "--http-address", "--store-url", "--lease-lead", "--log-level"} {
		if !found[flag] {
			t.Errorf("%s is not reported in %v", flag, problems)
		}
	}
}
