package wire

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Settings is the decoded settings text, not validated. Unknown keys are ignored. Its fields are named as in the
// protocol; package settings maps them to the names of the policy.
type Settings struct {
	Accounts []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_per_s"`
		Share float64 `json:"share"`
	} `json:"accounts"`
	Balancers int `json:"balancers"`
	Classes   []struct {
		Deadline   int64   `json:"deadline_us"`
		Window     int64   `json:"dedup_window_us"`
		Group      string  `json:"group"`
		LateWorth  float64 `json:"late_worth"`
		Name       string  `json:"name"`
		Repeat     string  `json:"repeat"`
		Sequential bool    `json:"sequential"`
		Target     int64   `json:"target_us"`
		Worth      float64 `json:"worth"`
	} `json:"classes"`
	Discovery string   `json:"discovery"`
	Kinds     []string `json:"kinds"`
	Limits    struct {
		ConnectTimeout int64 `json:"connect_timeout_us"`
		KeepAlive      int64 `json:"keepalive_us"`
		MaxRetryAfter  int64 `json:"max_retry_after_us"`
		MayCancel      bool  `json:"may_cancel"`
		MostHeld       int   `json:"most_held"`
		MostTries      int   `json:"most_tries"`
		Probing        bool  `json:"probing"`
		RetryAfter     bool  `json:"retry_after"`
		StreamsPerConn int   `json:"streams_per_conn"`
	} `json:"limits"`
	OverShareWorth float64 `json:"over_share_worth"`
	Report         struct {
		Fields []string `json:"fields"`
	} `json:"report"`
	Safety struct {
		AnswerSlack    int64   `json:"answer_slack_us"`
		AskEvery       int64   `json:"ask_every_us"`
		DrainGrace     int64   `json:"drain_grace_us"`
		FallTime       int64   `json:"fall_us"`
		OverloadFactor float64 `json:"overload_factor"`
		RampTime       int64   `json:"ramp_time_us"`
		StartCapacity  float64 `json:"start_capacity"`
		KeyRest        int64   `json:"settle_after_doubt_us"`
	} `json:"safety"`
	Specifics struct {
		CallsOut  int    `json:"calls_out"`
		KindBatch []int  `json:"kind_batch"`
		Late      string `json:"late"`
		OwnLimits []bool `json:"own_limits"`
	} `json:"specifics"`
	Tick    int64  `json:"tick_us"`
	ValueBy string `json:"value_by"`
	Weights string `json:"weights"`
	Zone    int    `json:"zone"`
}

// ParseSettings decodes the settings text. It checks only the syntax and the types of the values.
func ParseSettings(text []byte) (*Settings, error) {
	settings := &Settings{OverShareWorth: 1}
	if err := json.Unmarshal(text, settings); err != nil {
		var wrongType *json.UnmarshalTypeError
		if errors.As(err, &wrongType) {
			return nil, fmt.Errorf("settings: %s: wrong type %s", wrongType.Field, wrongType.Value)
		}
		return nil, fmt.Errorf("settings: %w", err)
	}
	return settings, nil
}
