package scenario

import (
	"fmt"
	"slices"
	"strings"
)

// SignalStep is one step of a RelaySignals fault, whose Variant is a list of steps joined by commas. If a step ends the
// relay's process, the relay is started again: 0.6 s after SIGKILL, which comes 3.7 s after the first SIGTERM.
type SignalStep string

// The steps.
const (
	StepReload    SignalStep = "hup"     // SIGHUP, with the configuration rewritten
	StepBadReload SignalStep = "badhup"  // SIGHUP, with a configuration that is no JSON until the next step
	StepTerminate SignalStep = "term"    // SIGTERM
	StepKill      SignalStep = "kill"    // SIGKILL
	StepStart     SignalStep = "start"   // after StepKill: start the process and do not wait until it is ready
	StepUpgrade   SignalStep = "upgrade" // start a successor and do not wait until it has taken over
	StepDrain     SignalStep = "drain"   // DRAIN on the console
	StepUndrain   SignalStep = "undrain" // UNDRAIN on the console
)

const maxSignalSteps = 20

// signalSteps are all steps.
var signalSteps = []SignalStep{
	StepReload, StepBadReload, StepTerminate, StepKill, StepStart, StepUpgrade, StepDrain, StepUndrain,
}

// ParseSignalSteps parses the Variant of a RelaySignals fault.
func ParseSignalSteps(text string) ([]SignalStep, error) {
	var steps []SignalStep
	for name := range strings.SplitSeq(text, ",") {
		step := SignalStep(name)
		if !slices.Contains(signalSteps, step) {
			return nil, fmt.Errorf("step %q, want one of %v", name, signalSteps)
		}
		if step == StepStart && !slices.Contains(steps, StepKill) {
			return nil, fmt.Errorf("step %q before %q", StepStart, StepKill)
		}
		steps = append(steps, step)
	}
	if len(steps) > maxSignalSteps {
		return nil, fmt.Errorf("%d steps, want at most %d", len(steps), maxSignalSteps)
	}
	return steps, nil
}
