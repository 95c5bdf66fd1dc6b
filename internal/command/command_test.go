package command

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"filbertcross/internal/api"
	"filbertcross/internal/config"
)

// runCommand runs the command line with args and returns its output.
func runCommand(args ...string) (string, error) {
	var out bytes.Buffer
	err := New(&out).Run(context.Background(), append([]string{"filbertcross"}, args...))
	return out.String(), err
}

func TestSheetCheckAcceptsTheExamples(t *testing.T) {
	examples, err := filepath.Glob("../../examples/*.csv")
	if err != nil || len(examples) == 0 {
		t.Fatalf("no example sheets found: %v", err)
	}
	for _, example := range examples {
		if _, err := runCommand("sheet", "check", example); err != nil {
			t.Errorf("%s: %v", example, err)
		}
	}
}

func TestSheetCheckListsAllProblems(t *testing.T) {
	file := filepath.Join(t.TempDir(), "bad.csv")
	csv := "branch,workload,kind,share,priority\nsofia,a,batch,none,high\nsofia,b,holiday,1,high\n"
	if err := os.WriteFile(file, []byte(csv), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := runCommand("sheet", "check", file)
	if ExitCode(err) != ExitRejected {
		t.Fatalf("exit code %d, want %d: %v", ExitCode(err), ExitRejected, err)
	}
	for _, part := range []string{"row 2", "share", "row 3", "kind"} {
		if !strings.Contains(err.Error(), part) {
			t.Errorf("error does not contain %q: %v", part, err)
		}
	}
}

func TestExitCodeForResponseStatusAndUsage(t *testing.T) {
	for status, want := range map[int]int{
		http.StatusConflict:            ExitConflict,
		http.StatusServiceUnavailable:  ExitUnavailable,
		http.StatusNotFound:            ExitRejected,
		http.StatusInternalServerError: ExitFailed,
	} {
		vm := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_ = json.NewEncoder(w).Encode(api.Problem{Error: "no", Verdict: "not-run"})
		}))
		_, err := runCommand("job", "list", "--server", vm.URL)
		vm.Close()
		if got := ExitCode(err); got != want {
			t.Errorf("status %d: exit code %d, want %d", status, got, want)
		}
	}
	for _, args := range [][]string{{"job", "status"}, {"explain"}, {"explain", "a", "b"}} {
		if _, err := runCommand(args...); ExitCode(err) != ExitUsage {
			t.Errorf("%v: exit code %d, want %d", args, ExitCode(err), ExitUsage)
		}
	}
}

func TestPrintSettingsPrintsEffectiveSettings(t *testing.T) {
	t.Setenv("FILBERTCROSS_HEARTBEAT", "1s")
	text, err := runCommand("serve", "--print-settings", "--failure-domain", "nl-noord-1")
	if err != nil {
		t.Fatal(err)
	}
	var settings config.Settings
	if err := json.Unmarshal([]byte(text), &settings); err != nil {
		t.Fatal(err)
	}
	if settings.FailureDomain != "nl-noord-1" || settings.Heartbeat.Seconds() != 1 {
		t.Errorf("failure domain or heartbeat is not the configured one: %+v", settings)
	}
	if _, err := runCommand("serve"); ExitCode(err) != ExitUsage {
		t.Errorf("settings without a failure domain: exit code %d, want %d", ExitCode(err), ExitUsage)
	}
}
