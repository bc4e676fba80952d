package settings

import (
	"strings"
	"testing"
	"time"
)

const validSettings = `{"GroupSize":1,"Limits":{"SendCap":1},"Safety":{"AskEveryUs":2000000,"DrainGraceUs":300000},
	"RequestClasses":[{"Name":"seat-hold","Effect":"idempotency_key","Group":"all","KeyTtlUs":400000,"AimUs":1000,"DeadlineUs":1000}]}`

// TestMissingAndInvalidTimes guards against durations of the safety rules that are missing, negative or implausibly long. A missing one is
// replaced by a safe default, which Assumptions lists. An invalid one is an error that names key and value.
func TestMissingAndInvalidTimes(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	if err != nil || s.DrainGrace != 300*time.Millisecond || s.Config.PollInterval != 2*time.Second || len(s.Assumptions) > 0 {
		t.Errorf("valid settings: got %+v, error %v", s, err)
	}
	for text, want := range map[string]string{
		`"AskEveryUs":2000000`:  "Safety.AskEveryUs",
		`"DrainGraceUs":300000`: "Safety.DrainGraceUs",
		`"KeyTtlUs":400000`:     "KeyTtlUs",
	} {
		s, err := Parse([]byte(strings.Replace(validSettings, text, `"Unused":0`, 1)))
		if err != nil || len(s.Assumptions) != 1 || !strings.Contains(s.Assumptions[0], want) || s.Config.PollInterval <= 0 {
			t.Errorf("without %s: got assumptions %q, error %v, want one assumption and no error", want, s.Assumptions, err)
		}
		key, _, _ := strings.Cut(text, ":")
		for _, value := range []string{"-1", "999999999999"} {
			_, err := Parse([]byte(strings.Replace(validSettings, text, key+":"+value, 1)))
			if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), value) {
				t.Errorf("%s of %s: got error %v, want one that names key and value", want, value, err)
			}
		}
	}
}
